//! One proxied connection.

use {
    super::{Fault, Faults},
    std::{future::pending, io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{
            TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        sync::watch,
        time::sleep,
    },
};

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Controls of one connection.
pub(crate) struct Link {
    control: watch::Sender<Control>,
}

#[derive(Clone, Copy, Default)]
struct Control {
    faults: Faults,
    cut: bool,
}

impl Link {
    /// Connects `client` to `target` in a task of its own.
    pub(crate) fn new(client: TcpStream, target: SocketAddr, faults: Faults) -> Self {
        let control = watch::Sender::new(Control { faults, cut: false });
        tokio::spawn(run(client, target, control.subscribe()));
        Self { control }
    }

    /// Whether the connection still exists.
    pub(crate) fn is_open(&self) -> bool {
        self.control.receiver_count() > 0
    }

    /// Changes the faults.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.control
            .send_modify(|control| change(&mut control.faults));
    }

    /// Resets the connection.
    pub(crate) fn cut(&self) {
        self.control.send_modify(|control| control.cut = true);
    }
}

/// Makes the end of a connection a reset.
pub(crate) fn reset(stream: &TcpStream) {
    // Fails only on a socket that is gone already. A zero linger time does not block.
    let _ = stream.set_zero_linger();
}

async fn run(mut client: TcpStream, target: SocketAddr, control: watch::Receiver<Control>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return reset(&client);
    };
    let nodelay = client.set_nodelay(true).and(server.set_nodelay(true));
    if nodelay.is_ok() && pump_both(&mut client, &mut server, control).await.is_ok() {
        return;
    }
    reset(&client);
    reset(&server);
}

/// Pumps until both directions have ended.
///
/// Fails when the connection is to be reset.
async fn pump_both(
    client: &mut TcpStream,
    server: &mut TcpStream,
    control: watch::Receiver<Control>,
) -> io::Result<()> {
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let mut cut = control.clone();
    tokio::select! {
        done = async {
            tokio::try_join!(
                pump(from_client, to_server, control.clone(), |faults| &faults.to_target),
                pump(from_server, to_client, control, |faults| &faults.from_target),
            )
        } => done.map(|_| ()),
        _ = async {
            if cut.wait_for(|control| control.cut).await.is_err() {
                pending::<()>().await;
            }
        } => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

async fn pump(
    mut source: ReadHalf<'_>,
    mut sink: WriteHalf<'_>,
    mut control: watch::Receiver<Control>,
    select: impl Fn(&Faults) -> &Fault,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut sent_since_change = 0;
    loop {
        let is_silent = select(&control.borrow().faults).silent;
        // Biased, so that no data passes once a change was made.
        let count = tokio::select! {
            biased;
            changed = control.changed() => {
                changed.map_err(|_| io::Error::from(io::ErrorKind::ConnectionReset))?;
                sent_since_change = 0;
                continue;
            }
            count = source.read(&mut buffer), if !is_silent => count?,
        };
        let fault = *select(&control.borrow().faults);
        if count == 0 {
            sink.shutdown().await?;
            return Ok(());
        }
        hold_back(fault.delay).await;
        // A fault may be set between the reading and here.
        let allowed = fault
            .remaining
            .map(|limit| limit.saturating_sub(sent_since_change));
        let passed = allowed.map_or(count, |allowed| count.min(allowed as usize));
        sink.write_all(&buffer[..passed]).await?;
        sent_since_change += passed as u64;
        if passed < count {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
}

async fn hold_back(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}
