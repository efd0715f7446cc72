//! Limits the bytes that arrive on a connection without becoming a response.
//!
//! A faulty server may send a head, a chunk size or trailers without end. The parser
//! consumes such bytes as fast as they arrive and reports nothing.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes read between two parts of a response: several times what the
/// read buffer holds.
const MAX_UNPARSED_BYTES: usize = 256 << 10;

/// The number of bytes that may still be read before the next part of a response.
#[derive(Debug, Clone)]
pub(crate) struct ReadAllowance(Arc<AtomicUsize>);

impl Default for ReadAllowance {
    fn default() -> Self {
        ReadAllowance(Arc::new(AtomicUsize::new(MAX_UNPARSED_BYTES)))
    }
}

impl ReadAllowance {
    /// Allows the full number again.
    pub fn renew(&self) {
        self.0.store(MAX_UNPARSED_BYTES, Ordering::Relaxed);
    }

    /// Uses a part of it; returns whether there was enough.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A TCP stream whose reads fail once the allowance is used up.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl GuardedStream {
    pub fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        GuardedStream { stream, allowance }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        if self.allowance.take(read) {
            return Poll::Ready(Ok(()));
        }
        let message = format!("more than {MAX_UNPARSED_BYTES} bytes without a part of a response");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }
}
