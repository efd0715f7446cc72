//! Parses and validates route files.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;

use crate::check::{Diagnostic, Source};
use crate::{
    Account, CutOff, Name, OnHalt, Piece, Rollout, Route, RouteKind, Stage, Step, Version,
    WorkClass,
};

const DEFAULT_DEADLINE_MS: u64 = 60_000;
const DEFAULT_FIRST_BYTE_MS: u64 = 10_000;
const DEFAULT_QUALITY: f64 = 0.0;
const DEFAULT_RATED: f64 = 0.05;
const DEFAULT_EVIDENCE: u32 = 20;
const MAX_DEADLINE_MS: u64 = 3_600_000;
const MAX_NAME_BYTES: usize = 64;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteFile {
    #[serde(default)]
    route: BTreeMap<String, Spanned<RouteSpec>>,
    #[serde(default)]
    account: BTreeMap<String, Spanned<AccountSpec>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AccountSpec {
    key_sha256: Spanned<Vec<String>>,
    weight: Option<Spanned<f64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteSpec {
    kind: RouteKind,
    accounts: Spanned<Vec<Name>>,
    quality: Option<Spanned<f64>>,
    work: Option<WorkClass>,
    deadline_ms: Option<Spanned<u64>>,
    first_byte_ms: Option<Spanned<u64>>,
    sessions: Option<bool>,
    repeatable: Option<bool>,
    cut_off: Option<CutOff>,
    on_halt: Option<OnHalt>,
    rated: Option<Spanned<f64>>,
    price_micro: Option<u64>,
    service: Option<Spanned<Name>>,
    #[serde(default)]
    version: Vec<Spanned<VersionSpec>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VersionSpec {
    name: Spanned<Name>,
    cost_micro: u64,
    quality: Spanned<f64>,
    evidence: Option<u32>,
    stage: Stage,
    successor: Option<Spanned<Name>>,
    accounts: Option<Vec<Name>>,
    steps: Option<Spanned<Vec<Step>>>,
}

/// Parses the text of the route file at `path`.
///
/// Returns the pieces, or all errors with their positions.
pub fn parse(path: &str, text: &str) -> Result<Vec<Piece>, Vec<Diagnostic>> {
    let source = Source { path, text };
    let file: RouteFile = match toml::from_str(text) {
        Ok(file) => file,
        Err(error) => return Err(vec![source.syntax_error(&error)]),
    };
    let mut converter = Converter { source, diagnostics: Vec::new() };
    let mut pieces = Vec::new();
    for (name, spec) in file.account {
        pieces.push(Piece::Account(converter.account(&name, spec)));
    }
    for (name, spec) in file.route {
        pieces.push(Piece::Route(converter.route(&name, spec)));
    }
    if converter.diagnostics.is_empty() { Ok(pieces) } else { Err(converter.diagnostics) }
}

/// Converts specifications into pieces and collects diagnostics.
struct Converter<'a> {
    source: Source<'a>,
    diagnostics: Vec<Diagnostic>,
}

impl Converter<'_> {
    fn report(&mut self, span: Range<usize>, message: String, hint: &str) {
        self.diagnostics.push(self.source.diagnostic(span, message, hint));
    }

    fn account(&mut self, name: &str, spec: Spanned<AccountSpec>) -> Account {
        self.check_name(name, spec.span());
        let spec = spec.into_inner();
        let span = spec.key_sha256.span();
        let keys = spec.key_sha256.into_inner();
        for key in &keys {
            if key.len() != 64 || !key.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')) {
                let message = format!("account {name}: {key:?} is not a SHA-256 digest");
                self.report(span.clone(), message, "use 64 lowercase hexadecimal digits");
            }
        }
        if keys.is_empty() {
            let message = format!("account {name} has no API key");
            self.report(span, message, "add the SHA-256 of at least one key");
        }
        let weight = match spec.weight {
            Some(weight) if !(0.01..=1000.0).contains(weight.as_ref()) => {
                let message = format!("account {name}: weight {} is out of range", weight.as_ref());
                self.report(weight.span(), message, "use a weight from 0.01 to 1000");
                1.0
            }
            Some(weight) => weight.into_inner(),
            None => 1.0,
        };
        Account {
            name: name.into(),
            keys: keys.iter().map(|k| k.as_str().into()).collect(),
            weight,
        }
    }

    fn route(&mut self, name: &str, spec: Spanned<RouteSpec>) -> Route {
        let span = spec.span();
        self.check_name(name, span.clone());
        let spec = spec.into_inner();
        let versions = self.versions(name, &spec, span);
        if spec.accounts.as_ref().is_empty() {
            let message = format!("route {name} allows no accounts");
            self.report(spec.accounts.span(), message, "list at least one account");
        }
        let is_model = spec.kind == RouteKind::Model;
        let quality = spec.quality.map_or(DEFAULT_QUALITY, |q| self.check_fraction("quality", q));
        let rated = spec.rated.map_or(DEFAULT_RATED, |r| self.check_fraction("rated", r));
        let deadline_ms = spec
            .deadline_ms
            .map_or(DEFAULT_DEADLINE_MS, |d| self.check_duration_ms("deadline_ms", d));
        let first_byte_ms = spec
            .first_byte_ms
            .map_or(DEFAULT_FIRST_BYTE_MS, |d| self.check_duration_ms("first_byte_ms", d));
        Route {
            name: name.into(),
            kind: spec.kind,
            accounts: spec.accounts.into_inner(),
            quality,
            work: spec.work.unwrap_or(WorkClass::Short),
            deadline_ms,
            first_byte_ms: first_byte_ms.min(deadline_ms),
            sessions: spec.sessions.unwrap_or(false),
            repeatable: spec.repeatable.unwrap_or(is_model),
            cut_off: spec.cut_off.unwrap_or(CutOff::ServeStable),
            on_halt: spec.on_halt.unwrap_or(OnHalt::Withdraw),
            rated,
            price_micro: spec.price_micro.unwrap_or(0),
            versions,
        }
    }

    fn versions(&mut self, route: &str, spec: &RouteSpec, span: Range<usize>) -> Vec<Version> {
        match (spec.kind, &spec.service) {
            (RouteKind::Service, Some(service)) => {
                if !spec.version.is_empty() {
                    let message = format!("service route {route} has version tables");
                    self.report(span, message, "remove the version tables");
                }
                vec![service_version(service.as_ref().clone())]
            }
            (RouteKind::Service, None) => {
                let message = format!("service route {route} has no service key");
                self.report(span, message, "add service = \"NAME\"");
                Vec::new()
            }
            (RouteKind::Model, Some(service)) => {
                let message = format!("model route {route} has a service key");
                self.report(
                    service.span(),
                    message,
                    "remove the service key or set kind = \"service\"",
                );
                Vec::new()
            }
            (RouteKind::Model, None) => self.model_versions(route, spec, span),
        }
    }

    fn model_versions(
        &mut self,
        route: &str,
        spec: &RouteSpec,
        span: Range<usize>,
    ) -> Vec<Version> {
        let mut versions: Vec<Version> = Vec::new();
        for version in &spec.version {
            let version = self.version(route, version);
            if versions.iter().any(|v| v.name == version.name) {
                let message = format!("route {route} lists version {} twice", version.name);
                self.report(span.clone(), message, "remove one of them");
            }
            versions.push(version);
        }
        if !versions.iter().any(|v| v.stage == Stage::Stable) {
            let message = format!("route {route} has no stable version");
            self.report(span, message, "set stage = \"stable\" on at least one version");
        }
        self.check_successors(route, spec, &versions);
        versions.sort_by_key(|v| v.cost_micro);
        versions
    }

    fn check_successors(&mut self, route: &str, spec: &RouteSpec, versions: &[Version]) {
        for version in &spec.version {
            let Some(successor) = &version.as_ref().successor else { continue };
            let known = versions.iter().find(|v| v.name == *successor.as_ref());
            if !known.is_some_and(|v| v.stage == Stage::Stable) {
                let name = successor.as_ref();
                let message = format!("route {route}: successor {name} is not a stable version");
                self.report(successor.span(), message, "use a stable version of the same route");
            }
        }
    }

    fn version(&mut self, route: &str, spec: &Spanned<VersionSpec>) -> Version {
        let span = spec.span();
        let spec = spec.as_ref();
        self.check_name(spec.name.as_ref(), spec.name.span());
        let quality = self.check_fraction("quality", spec.quality.clone());
        let rollout = self.rollout(route, spec, span);
        Version {
            name: spec.name.as_ref().clone(),
            cost_micro: spec.cost_micro,
            quality,
            evidence: spec.evidence.unwrap_or(DEFAULT_EVIDENCE),
            stage: spec.stage,
            generation: 0,
            successor: spec.successor.as_ref().map(|s| s.as_ref().clone()),
            accounts: spec.accounts.clone(),
            rollout,
        }
    }

    fn rollout(&mut self, route: &str, spec: &VersionSpec, span: Range<usize>) -> Option<Rollout> {
        let name = spec.name.as_ref();
        match (spec.stage, &spec.steps) {
            (Stage::Rollout, Some(steps)) => {
                let shares = steps.as_ref().iter().map(|s| s.share);
                if steps.as_ref().is_empty() || shares.clone().any(|s| !(0.0..=1.0).contains(&s)) {
                    let message = format!("route {route}: the rollout steps of {name} are invalid");
                    self.report(
                        steps.span(),
                        message,
                        "add at least one step, with a share from 0 to 1",
                    );
                }
                Some(Rollout { start_ms: 0, steps: steps.as_ref().clone() })
            }
            (Stage::Rollout, None) => {
                let message =
                    format!("route {route}: version {name} is in stage rollout but has no steps");
                self.report(span, message, "add steps = [{ share = 0.05, hold_s = 600 }]");
                None
            }
            (Stage::Stable | Stage::Retiring | Stage::Withdrawn, _) => None,
        }
    }

    fn check_name(&mut self, name: &str, span: Range<usize>) {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
            let message = format!("{name:?} is not a valid name");
            self.report(span, message, "use 1 to 64 letters, digits, '-', '_' and '.'");
        }
    }

    fn check_fraction(&mut self, key: &str, value: Spanned<f64>) -> f64 {
        if !(0.0..=1.0).contains(value.as_ref()) {
            let message = format!("{key} = {} is out of range", value.as_ref());
            self.report(value.span(), message, "use a number from 0 to 1");
        }
        value.into_inner()
    }

    fn check_duration_ms(&mut self, key: &str, value: Spanned<u64>) -> u64 {
        if !(1..=MAX_DEADLINE_MS).contains(value.as_ref()) {
            let message = format!("{key} = {} is out of range", value.as_ref());
            self.report(value.span(), message, "use 1 to 3600000 milliseconds");
        }
        value.into_inner()
    }
}

/// The single version of a service route.
fn service_version(name: Name) -> Version {
    Version {
        name,
        cost_micro: 0,
        quality: 1.0,
        evidence: DEFAULT_EVIDENCE,
        stage: Stage::Stable,
        generation: 0,
        successor: None,
        accounts: None,
        rollout: None,
    }
}
