//! Encodes digests and bills as Cap'n Proto messages, and decodes them.

use capnp::Result;
use config::Name;
use ledger::Bill;
use policy::{
    Digest, EvidenceRow, HaltKey, LoadHint, Member, PoisonRow, RequestId, Tally, Usage, VersionKey,
};

use crate::peer_capnp::{bill, digest, id};

/// Encodes a digest.
pub fn write_digest(from: &Digest, mut to: digest::Builder<'_>) {
    to.set_instance(&*from.instance);
    to.set_incarnation(from.incarnation);
    to.set_domain(&*from.domain);
    to.set_sequence(from.sequence);
    to.set_leaving(from.leaving);
    to.set_config_number(from.config_number);
    to.set_confirmed(from.confirmed_age_ms.is_some());
    to.set_confirmed_age_ms(from.confirmed_age_ms.unwrap_or(0));
    write_members(&from.members, to.reborrow());
    let mut list = to.reborrow().init_leaving_servers(from.leaving_servers.len() as u32);
    for (i, server) in from.leaving_servers.iter().enumerate() {
        list.set(i as u32, &**server);
    }
    write_halts(&from.halts, to.reborrow());
    let mut list = to.reborrow().init_poison(from.poison.len() as u32);
    for (i, row) in from.poison.iter().enumerate() {
        let mut entry = list.reborrow().get(i as u32);
        entry.set_fingerprint(row.fingerprint);
        entry.set_deaths(row.crashes);
    }
    write_loads(&from.loads, to.reborrow());
    write_evidence(&from.evidence, to);
}

fn write_members(members: &[Member], to: digest::Builder<'_>) {
    let mut list = to.init_members(members.len() as u32);
    for (i, member) in members.iter().enumerate() {
        let mut entry = list.reborrow().get(i as u32);
        entry.set_instance(&*member.instance);
        entry.set_incarnation(member.incarnation);
        entry.set_sequence(member.sequence);
        entry.set_leaving(member.leaving);
    }
}

fn write_halts(halts: &[HaltKey], to: digest::Builder<'_>) {
    let mut list = to.init_halts(halts.len() as u32);
    for (i, halt) in halts.iter().enumerate() {
        let mut entry = list.reborrow().get(i as u32);
        entry.set_route(&*halt.route);
        entry.set_version(&*halt.version);
        entry.set_generation(halt.generation);
    }
}

fn write_loads(loads: &[LoadHint], to: digest::Builder<'_>) {
    let mut list = to.init_loads(loads.len() as u32);
    for (i, load) in loads.iter().enumerate() {
        let mut entry = list.reborrow().get(i as u32);
        entry.set_server(&*load.server);
        entry.set_in_flight(load.in_flight);
        entry.set_suspect(load.suspect);
    }
}

fn write_evidence(rows: &[EvidenceRow], to: digest::Builder<'_>) {
    let mut list = to.init_evidence(rows.len() as u32);
    for (i, row) in rows.iter().enumerate() {
        let mut entry = list.reborrow().get(i as u32);
        entry.set_route(&*row.key.route);
        entry.set_version(&*row.key.version);
        entry.set_epoch(row.epoch);
        entry.set_ok(row.tally.ok);
        entry.set_errors(row.tally.errors);
        entry.set_fast(row.tally.fast);
        entry.set_slow(row.tally.slow);
        let mut ratings = entry.init_ratings(row.tally.ratings.len() as u32);
        for (bin, count) in row.tally.ratings.iter().enumerate() {
            ratings.set(bin as u32, *count);
        }
    }
}

/// Decodes a digest.
pub fn read_digest(from: digest::Reader<'_>) -> Result<Digest> {
    let mut leaving_servers = Vec::new();
    for server in from.get_leaving_servers()? {
        leaving_servers.push(read_name(server?)?);
    }
    let poison = from
        .get_poison()?
        .iter()
        .map(|row| PoisonRow { fingerprint: row.get_fingerprint(), crashes: row.get_deaths() });
    Ok(Digest {
        instance: read_name(from.get_instance()?)?,
        incarnation: from.get_incarnation(),
        domain: read_name(from.get_domain()?)?,
        sequence: from.get_sequence(),
        leaving: from.get_leaving(),
        config_number: from.get_config_number(),
        confirmed_age_ms: from.get_confirmed().then(|| from.get_confirmed_age_ms()),
        members: read_members(from)?,
        leaving_servers,
        halts: read_halts(from)?,
        poison: poison.collect(),
        loads: read_loads(from)?,
        evidence: read_evidence(from)?,
    })
}

fn read_members(from: digest::Reader<'_>) -> Result<Vec<Member>> {
    let read = |member: crate::peer_capnp::member::Reader<'_>| {
        Ok(Member {
            instance: read_name(member.get_instance()?)?,
            incarnation: member.get_incarnation(),
            sequence: member.get_sequence(),
            leaving: member.get_leaving(),
        })
    };
    from.get_members()?.iter().map(read).collect()
}

fn read_halts(from: digest::Reader<'_>) -> Result<Vec<HaltKey>> {
    let read = |halt: crate::peer_capnp::halt::Reader<'_>| {
        Ok(HaltKey {
            route: read_name(halt.get_route()?)?,
            version: read_name(halt.get_version()?)?,
            generation: halt.get_generation(),
        })
    };
    from.get_halts()?.iter().map(read).collect()
}

fn read_loads(from: digest::Reader<'_>) -> Result<Vec<LoadHint>> {
    let read = |load: crate::peer_capnp::load::Reader<'_>| {
        Ok(LoadHint {
            server: read_name(load.get_server()?)?,
            in_flight: load.get_in_flight(),
            suspect: load.get_suspect(),
        })
    };
    from.get_loads()?.iter().map(read).collect()
}

fn read_evidence(from: digest::Reader<'_>) -> Result<Vec<EvidenceRow>> {
    let read = |row: crate::peer_capnp::evidence::Reader<'_>| {
        let mut tally = Tally {
            ok: row.get_ok(),
            errors: row.get_errors(),
            fast: row.get_fast(),
            slow: row.get_slow(),
            ..Tally::default()
        };
        for (bin, count) in tally.ratings.iter_mut().zip(row.get_ratings()?.iter()) {
            *bin = count;
        }
        let key = VersionKey {
            route: read_name(row.get_route()?)?,
            version: read_name(row.get_version()?)?,
        };
        Ok(EvidenceRow { key, epoch: row.get_epoch(), tally })
    };
    from.get_evidence()?.iter().map(read).collect()
}

/// Encodes a bill.
pub fn write_bill(from: &Bill, mut to: bill::Builder<'_>) {
    write_id(from.id, to.reborrow().init_id());
    to.set_account(&*from.account);
    to.set_route(&*from.route);
    to.set_version(&*from.version);
    to.set_prompt_tokens(from.usage.prompt_tokens);
    to.set_output_tokens(from.usage.output_tokens);
    to.set_amount_micro(from.amount_micro);
    to.set_at_ms(from.at_ms);
}

/// Decodes a bill.
pub fn read_bill(from: bill::Reader<'_>) -> Result<Bill> {
    Ok(Bill {
        id: read_id(from.get_id()?),
        account: read_name(from.get_account()?)?,
        route: read_name(from.get_route()?)?,
        version: read_name(from.get_version()?)?,
        usage: Usage {
            prompt_tokens: from.get_prompt_tokens(),
            output_tokens: from.get_output_tokens(),
        },
        amount_micro: from.get_amount_micro(),
        at_ms: from.get_at_ms(),
    })
}

/// Encodes a request id.
pub fn write_id(from: RequestId, mut to: id::Builder<'_>) {
    to.set_high((from.0 >> 64) as u64);
    to.set_low(from.0 as u64);
}

/// Decodes a request id.
pub fn read_id(from: id::Reader<'_>) -> RequestId {
    RequestId((u128::from(from.get_high()) << 64) | u128::from(from.get_low()))
}

/// Decodes a name; fails if it is not valid UTF-8.
pub fn read_name(text: capnp::text::Reader<'_>) -> Result<Name> {
    Ok(Name::from(text.to_str()?))
}
