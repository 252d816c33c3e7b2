//! Runs one stand-in as a separate process.

use std::net::SocketAddr;

use clap::{Parser, Subcommand};
use model::{ServiceName, VmId};
use standin::{Kv, KvServer, Upstream, UpstreamSettings, serve_kv_control};
use tokio::net::TcpListener;

/// Stand-ins for the key-value service of the platform and for upstreams.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the key-value service.
    Kv {
        /// Listening address for gRPC.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Listening address of the control API.
        #[arg(long, default_value = "127.0.0.1:0")]
        control: SocketAddr,
    },
    /// Runs an upstream.
    Upstream {
        /// VM of the upstream.
        #[arg(long)]
        vm: VmId,
        /// Service of the upstream.
        #[arg(long)]
        service: ServiceName,
        /// Address at which the local daemon receives announcements.
        #[arg(long)]
        daemon: SocketAddr,
        /// Maximum number of concurrent calls.
        #[arg(long, default_value_t = 12)]
        slots: u32,
        /// Maximum number of connections.
        #[arg(long, default_value_t = 110)]
        connections: u32,
        /// Listening address for calls.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Listening address of the control API.
        #[arg(long, default_value = "127.0.0.1:0")]
        control: SocketAddr,
    },
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    match Cli::parse().command {
        Command::Kv { listen, control } => run_kv(listen, control).await,
        Command::Upstream {
            vm,
            service,
            daemon,
            slots,
            connections,
            listen,
            control,
        } => {
            let settings = UpstreamSettings {
                vm,
                service,
                daemon,
                slots,
                connections,
            };
            run_upstream(settings, listen, control).await
        }
    }
}

async fn run_kv(listen: SocketAddr, control: SocketAddr) -> std::io::Result<()> {
    let kv = Kv::open();
    let server = KvServer::spawn(kv.clone(), TcpListener::bind(listen).await?)?;
    let control = TcpListener::bind(control).await?;
    print_ready(server.address(), control.local_addr()?);
    tokio::select! {
        ended = serve_kv_control(kv, control) => ended,
        stopped = tokio::signal::ctrl_c() => stopped,
    }
}

async fn run_upstream(
    settings: UpstreamSettings,
    listen: SocketAddr,
    control: SocketAddr,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let upstream = Upstream::spawn(settings, listener, TcpListener::bind(control).await?)?;
    print_ready(upstream.address(), upstream.control());
    tokio::signal::ctrl_c().await
}

/// Prints the listening addresses for the parent process.
fn print_ready(address: SocketAddr, control: SocketAddr) {
    println!("ready {{\"address\":\"{address}\",\"control\":\"{control}\"}}");
}
