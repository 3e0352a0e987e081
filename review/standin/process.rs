//! The project's own programs as processes, with settings rendered from the project's template.

use crate::json::quoted;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The program, relative to the root of the project, in which the scripts run.
const PROGRAM: &str = "target/release/buckthornwharf";
const TEMPLATE: &str = "platform/settings.yml";

/// Sends a signal to a process that this program has started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    unsafe { kill(pid as i32, signal) };
}

/// The fields of the platform's settings of one process: the text of each, plain and as JSON.
#[derive(Debug, Clone, Default)]
pub struct Fields(BTreeMap<String, (String, String)>);

impl Fields {
    pub fn text(mut self, name: &str, value: &str) -> Self {
        self.0.insert(name.to_owned(), (value.to_owned(), quoted(value)));
        self
    }

    /// A number, list or table in JSON.
    pub fn json(mut self, name: &str, value: &str) -> Self {
        self.0.insert(name.to_owned(), (value.to_owned(), value.to_owned()));
        self
    }

    /// Renders the template of the settings as DEPLOY.md describes it.
    pub fn render(&self) -> String {
        let template = fs::read_to_string(TEMPLATE).expect("the scripts run in the project's root");
        self.render_part(&template)
    }

    fn render_part(&self, template: &str) -> String {
        let mut rendered = String::new();
        let mut rest = template;
        while let Some((before, after)) = rest.split_once("{{") {
            rendered.push_str(before);
            let (name, after) = after.split_once("}}").expect("the placeholder ends");
            rest = after;
            if let Some(section) = name.strip_prefix('#') {
                let end = format!("{{{{/{section}}}}}");
                let (inside, behind) = rest.split_once(&end).expect("the section ends");
                if self.0.contains_key(section) {
                    rendered.push_str(&self.render_part(inside));
                }
                rest = behind;
                continue;
            }
            let field = self.0.get(name.trim_end_matches("|json"));
            let value =
                field.map(|(plain, json)| if name.ends_with("|json") { json } else { plain });
            rendered.push_str(value.map_or("", |value| value));
        }
        rendered + rest
    }
}

/// A port of `ip` that is free now.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a loopback address");
    listener.local_addr().expect("it is bound").port()
}

/// Where a process of the system listens.
#[derive(Debug, Clone)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

/// A process of the system; killed when it is dropped.
pub struct Process {
    role: &'static str,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Child,
}

impl Process {
    /// Starts `role` with the command of the deploy file.
    pub fn start(role: &'static str, name: &str, folder: &Path, settings: &str) -> Self {
        let settings_path = folder.join(format!("{name}.yml"));
        let log_path = folder.join(format!("{name}.log"));
        fs::write(&settings_path, settings).expect("the folder can be written");
        let child = Self::spawn(role, &settings_path, &log_path);
        Self { role, settings_path, log_path, child }
    }

    fn spawn(role: &str, settings_path: &Path, log_path: &Path) -> Child {
        let log = File::options().create(true).append(true).open(log_path).expect("a log file");
        let mut command = Command::new(PROGRAM);
        // A process gets these variables only.
        let kept = ["PATH", "HOME", "LANG"];
        let kept = kept.into_iter().filter_map(|name| Some((name, std::env::var_os(name)?)));
        command.env_clear().envs(kept);
        command.arg(role).arg("--settings").arg(settings_path).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log file")).stderr(log);
        command.spawn().expect("the build of the deploy file has run")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        send_signal(self.id(), signal);
    }

    /// Replaces the settings file, as the platform does.
    pub fn write_settings(&self, settings: &str) {
        let new = self.settings_path.with_extension("new");
        fs::write(&new, settings).expect("the folder can be written");
        fs::rename(&new, &self.settings_path).expect("the folder can be written");
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = Self::spawn(self.role, &self.settings_path, &self.log_path);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        send_signal(self.id(), SIGCONT);
        // Fails if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Fields that all processes of the small deployment share. `number` tells the machines apart.
pub fn machine_fields(name: &str, zone: &str, number: u8, store: SocketAddr) -> Fields {
    let ip = format!("127.0.{}.{number}", 40 + std::process::id() % 200);
    let first_port = free_port(&ip);
    Fields::default()
        .text("node_name", name)
        .text("zone", zone)
        .json("zones", "{\"colombo-a\":\"colombo\",\"kandy-a\":\"kandy\",\"galle-a\":\"galle\"}")
        .text("ip", &ip)
        .json("internal_ports", &format!("[{first_port},{}]", first_port.saturating_add(15)))
        .text("platform_settings.address", &store.to_string())
        .json("bounds.budget_ratio", "0.2")
        .json("bounds.budget_extra", "102")
        .json("bounds.budget_window_s", "10")
        .json("bounds.grace_s", "8")
        .json("bounds.version_ms", "8000")
}

/// Fields of a `front` machine, with the addresses that it listens on.
pub fn front_fields(name: &str, zone: &str, number: u8, store: SocketAddr) -> (Fields, Addresses) {
    let ip = "127.0.0.1";
    let address = || SocketAddr::new(ip.parse().expect("an address"), free_port(ip));
    let addresses = Addresses { callers: address(), readiness: address() };
    let fields = machine_fields(name, zone, number, store)
        .json("limits.memory_mb", "260")
        .json("limits.max_fds", "4100")
        .json("limits.link_mbps", "1000.0")
        .text("listen.front", &addresses.callers.to_string())
        .text("listen.ready", &addresses.readiness.to_string());
    (fields, addresses)
}

/// Fields of a `side` machine beside the engine at `engine`.
pub fn side_fields(
    name: &str,
    zone: &str,
    number: u8,
    store: SocketAddr,
    service: &str,
    engine: SocketAddr,
) -> Fields {
    machine_fields(name, zone, number, store)
        .json("limits.memory_mb", "128")
        .json("limits.max_fds", "2048")
        .json("limits.link_mbps", "7.6")
        .text("app", &engine.to_string())
        .text("service", service)
}

/// Asks the readiness address as the platform does; false also if there is no answer.
pub fn is_ready(address: SocketAddr) -> bool {
    use std::io::{Read, Write};
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let call =
        b"GET /buckthornwharf/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let mut head = [0; 12];
    stream.write_all(call).is_ok() && stream.read_exact(&mut head).is_ok() && head.ends_with(b"200")
}

/// Waits until `condition` holds; false after `timeout`.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
