//! The program of the stand-ins: runs one service of the platform or one target.

use anyhow::Result;
use bpaf::{Bpaf, Parser};
use buckthornwharf_standin::engine::{EngineOptions, EngineService, EngineSwitches};
use buckthornwharf_standin::hosts::HostsService;
use buckthornwharf_standin::kv::KvService;
use buckthornwharf_standin::plain::PlainService;
use buckthornwharf_standin::relay::RelayService;
use buckthornwharf_standin::server::{ConnectionTable, serve_role};
use buckthornwharf_standin::store::StoreService;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};

/// Runs a stand-in for one service of the platform, or for a target, on an HTTP address.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum StandinCommand {
    /// The key-value service.
    #[bpaf(command)]
    Kv {
        #[bpaf(external)]
        listen: SocketAddr,
    },
    /// The list of hosts.
    #[bpaf(command)]
    Hosts {
        #[bpaf(external)]
        listen: SocketAddr,
    },
    /// The weight store and origin.
    #[bpaf(command)]
    Store {
        #[bpaf(external)]
        listen: SocketAddr,
    },
    /// A model engine.
    #[bpaf(command)]
    Engine {
        #[bpaf(external)]
        listen: SocketAddr,
        #[bpaf(external)]
        engine_arguments: EngineArguments,
    },
    /// A plain service.
    #[bpaf(command)]
    Plain {
        #[bpaf(external)]
        listen: SocketAddr,
    },
    /// A relay to another process; its counters show the address on which it accepts connections.
    #[bpaf(command)]
    Relay {
        #[bpaf(external)]
        listen: SocketAddr,
        /// Address to which connections are forwarded.
        #[bpaf(argument("ADDRESS"))]
        to: SocketAddr,
    },
}

/// Start options of an engine.
#[derive(Debug, Clone, Bpaf)]
struct EngineArguments {
    /// Maximum number of requests in the batch.
    #[bpaf(argument("NUMBER"), fallback(16), display_fallback)]
    slots: u32,
    /// Maximum number of versions loaded at once.
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    holds: u32,
    /// Refuse orders with a stale fencing token.
    checks_fence: bool,
    /// Delay before each token.
    #[bpaf(argument("MILLISECONDS"), fallback(0), display_fallback)]
    token_gap_ms: u64,
    /// Duration of a load.
    #[bpaf(argument("MILLISECONDS"), fallback(0), display_fallback)]
    load_ms: u64,
}

fn listen() -> impl Parser<SocketAddr> {
    bpaf::long("listen")
        .help("Address to listen on; port 0 selects a free port")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}

fn main() -> Result<()> {
    env_logger::init();
    let command = standin_command().run();
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            result = run_command(command) => result,
            _ = terminate.recv() => Ok(()),
        }
    })
}

async fn run_command(command: StandinCommand) -> Result<()> {
    let connections = ConnectionTable::default();
    match command {
        StandinCommand::Kv { listen } => {
            let service = KvService::start(connections.clone());
            serve_role(service, listen, connections).await
        }
        StandinCommand::Hosts { listen } => {
            serve_role(HostsService::new(), listen, connections).await
        }
        StandinCommand::Store { listen } => {
            serve_role(StoreService::new(), listen, connections).await
        }
        StandinCommand::Engine { listen, engine_arguments } => {
            let service = start_engine(&engine_arguments, connections.clone());
            serve_role(service, listen, connections).await
        }
        StandinCommand::Plain { listen } => {
            let service = PlainService::new(connections.clone());
            serve_role(service, listen, connections).await
        }
        StandinCommand::Relay { listen, to } => {
            serve_role(RelayService::start(to).await?, listen, connections).await
        }
    }
}

fn start_engine(arguments: &EngineArguments, connections: ConnectionTable) -> Rc<EngineService> {
    let options = EngineOptions {
        slots: arguments.slots,
        max_versions: arguments.holds,
        checks_fence: arguments.checks_fence,
    };
    let switches = EngineSwitches {
        token_gap_ms: arguments.token_gap_ms,
        load_ms: arguments.load_ms,
        ..EngineSwitches::default()
    };
    EngineService::start(options, switches, connections)
}
