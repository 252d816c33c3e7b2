//! Runs one stand-in as a process of its own.

use std::net::SocketAddr;

use clap::{Parser, Subcommand};
use model::{ServiceName, VmId};
use standin::{Kv, KvServer, Upstream, UpstreamSettings, serve_kv_control};
use tokio::net::TcpListener;

/// Stand-ins for the platform's key-value service and for upstreams.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the key-value service.
    Kv {
        /// Address to serve gRPC on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Address to serve the control on.
        #[arg(long, default_value = "127.0.0.1:0")]
        control: SocketAddr,
    },
    /// Runs an upstream.
    Upstream {
        /// VM that it runs on.
        #[arg(long)]
        vm: VmId,
        /// Service that it belongs to.
        #[arg(long)]
        service: ServiceName,
        /// Where its daemon takes announcements.
        #[arg(long)]
        daemon: SocketAddr,
        /// Calls that it runs at once.
        #[arg(long, default_value_t = 12)]
        slots: u32,
        /// Connections that it takes.
        #[arg(long, default_value_t = 110)]
        connections: u32,
        /// Address to take calls on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Address to serve the control on.
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
    announce_ready(server.address(), control.local_addr()?);
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
    announce_ready(upstream.address(), upstream.control());
    tokio::signal::ctrl_c().await
}

/// Tells whoever started the process where it serves.
fn announce_ready(address: SocketAddr, control: SocketAddr) {
    println!("ready {{\"address\":\"{address}\",\"control\":\"{control}\"}}");
}
