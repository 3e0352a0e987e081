//! The plots of the cases.

use crate::fleet::{
    Call, EngineLine, Entry, Fleet, GWENN_CARTO, KWMC_ORDERS, Process, Reply, Site, engine_lines,
    free_address, is_ready, send, wait_until,
};
use crate::http::{now_ms, sleep_ms, sleep_until};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::{self, JoinHandle};

const MODEL: &str = "daka510000";
const ASSISTANT: &str = "huvo11a";
const LEDGER: &str = "wuno96b";
/// `heartbeat_ms`; an entry of an engine is removed after three of them in silence.
const HEARTBEAT_MS: f64 = 1200.0;
/// Events of a stream, and the time before each.
const EVENTS: u32 = 21;
const EVENT_GAP_MS: f64 = 200.0;
/// `cold_start_s`, `cold_over` and `cold_slack`.
const COLD_START_S: f64 = 8.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// How long the store loses answers.
const LOST_FOR_MS: f64 = 4500.0;

pub fn play(name: &str, folder: &Path, root: &Path, has_trouble: bool) -> i32 {
    let plot = match name {
        "leaving-stream" => leaving_stream,
        "set-back-removal" => set_back_removal,
        "set-back-cold" => set_back_cold,
        "cut-watch" => cut_watch,
        "lost-registration" => lost_registration,
        _ => return 2,
    };
    let mut record = Record::default();
    record.conclude(format!("case {name}, TROUBLE={}", u8::from(has_trouble)));
    let code = match plot(&mut record, root, has_trouble) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(reason) => {
            record.conclude(format!("the case could not run: {reason}"));
            2
        }
    };
    record.conclude(format!("exit {code}"));
    record.write(folder);
    code
}

/// A temporary folder, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Result<Self, String> {
        let name = format!("review-2-{}-{:.0}", std::process::id(), now_ms());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The configuration of a small deployment.
fn config(cold_per_s: f64) -> String {
    let cold = match cold_per_s > 0.0 {
        true => format!(r#","cold_start_s":{COLD_START_S},"cold_per_s":{cold_per_s}"#),
        false => String::new(),
    };
    let route = |name: &str, host: &str, prefix: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{host}","prefix":"{prefix}","anonymous_access":false,{rest}}}"#
        )
    };
    let routes = [
        route(
            "r-stream",
            "jepu9.example",
            "/lepu270/stream/",
            &format!(
                r#""kind":"stream","timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"{ASSISTANT}","max_attempts":2,"session_affinity":true,"stream_resume":true,"gap_aim_ms":300"#
            ),
        ),
        route(
            "r-booking",
            "voka93.example",
            "/filo73/",
            &format!(
                r#""kind":"non_idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"{LEDGER}","max_attempts":1"#
            ),
        ),
        route(
            "r-lookup",
            "hulo84.example",
            "/boye614/",
            &format!(
                r#""kind":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"{LEDGER}","max_attempts":2"#
            ),
        ),
    ];
    let engine = format!(
        r#""engine":{{"slots":16,"kv_capacity_tokens":685000,"kv_token_bytes":327680,"link_mbps":400000.0,"stride":6,"models":[{{"name":"{MODEL}","pace":1.0,"load_s":4.0,"warm_s":0.3}}],"step_ms":7.4,"per_seq_ms":0.0387,"context_per_k":0.0203,"read_per_s":31900.0,"pairs_per_m":0.733,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":973,"answer":106}},"layers":16,"chunks":64,"chunk_bytes":32768}}"#
    );
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"{ASSISTANT}","health_path":"/health","max_connections":264,"protocol":"h1","tls":false,{engine}}},{{"name":"{LEDGER}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false{cold}}}],"limits":{{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":["jnbanfqasnmgkcuyj8pj"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// An engine with what it writes to the store.
struct Target {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    service: &'static str,
    slots: usize,
    born_ms: f64,
    process: Process,
}

impl Target {
    fn start(fleet: &Fleet, number: usize, service: &'static str, options: &str) -> Self {
        let id = format!("i-{number}{:08x}", (now_ms() as u64) & 0xffff_ffff);
        let address = free_address(&format!("127.0.3.{}", number + 1));
        let (zone, slots) = (fleet.site.zones[number % 3], if service == LEDGER { 6 } else { 16 });
        let options = format!("{options} slots={slots} model={MODEL}");
        let process = fleet.start_engine(&id, address, &options);
        Self { id, address, zone, service, slots, born_ms: now_ms().floor(), process }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes its entry; returns when that was acknowledged.
    fn register(&self, store: &Store, state: &str, cold_ms: f64) -> f64 {
        let models = match self.service == ASSISTANT {
            true => format!(r#"{{"name":"{MODEL}","version":1,"adapters":[]}}"#),
            false => String::new(),
        };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_remaining_ms":{cold_ms:.0},"stage":"hybrid","models":[{models}],"sequence":1,"born":{:.0}}}"#,
            self.service, self.address, self.zone, self.slots, self.born_ms
        );
        store.put(&self.key(), &entry)
    }

    fn lines(&self) -> Vec<EngineLine> {
        engine_lines(&self.process.output())
    }
}

/// The parts that all cases start.
struct Stage {
    entries: Vec<Entry>,
    targets: Vec<Target>,
    agents: Vec<Process>,
    store: Store,
    fleet: Fleet,
    _folder: Folder,
}

impl Stage {
    fn start(
        root: &Path,
        site: &'static Site,
        entries: usize,
        targets: usize,
        service: &'static str,
        options: impl Fn(usize) -> String,
        cold_per_s: f64,
    ) -> Result<Self, String> {
        let folder = Folder::new()?;
        let program = root.join("target/release/buckthornwharf");
        if !program.exists() {
            return Err("the program of the deploy file is not built".to_owned());
        }
        let store = Store::start();
        store.put("op/config", &config(cold_per_s));
        let fleet =
            Fleet { root: root.to_owned(), folder: folder.0.clone(), store: store.address, site };
        let start = |number| Target::start(&fleet, number, service, &options(number));
        let targets: Vec<Target> = (0..targets).map(start).collect();
        sleep_ms(300.0);
        for target in &targets {
            target.register(&store, "ready", 0.0);
        }
        let agents = match service == ASSISTANT {
            true => targets
                .iter()
                .enumerate()
                .map(|(number, target)| fleet.start_agent(number, ASSISTANT, target.address))
                .collect(),
            false => Vec::new(),
        };
        let entries: Vec<Entry> = (0..entries).map(|number| fleet.start_entry(number)).collect();
        let stage = Self { entries, targets, agents, store, fleet, _folder: folder };
        let is_up = wait_until(15_000.0, || {
            stage.entries.iter().all(|entry| is_ready(entry.readiness))
                && stage.store.count("buckthornwharf/common/entry/") == stage.entries.len()
        });
        match is_up {
            true => Ok(stage),
            false => Err("the entries did not become ready".to_owned()),
        }
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Fails if a process of the product has ended.
    fn check_processes(&mut self) -> Result<(), String> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        for process in entries.chain(&mut self.agents) {
            if !process.is_running() {
                return Err(format!("{} has ended", process.name));
            }
        }
        Ok(())
    }

    fn finish(&mut self, record: &mut Record, replies: &[Reply]) {
        record.add_all(self.store.take_log());
        record.add_all(replies.iter().map(Reply::line));
        for target in &self.targets {
            record.add_engine(&target.id, &target.process.output());
        }
        let _ = &self.fleet;
    }
}

fn booking(number: usize) -> Call {
    Call {
        method: "POST",
        path: format!("/filo73/booking/{number}"),
        host: "voka93.example",
        deadline_ms: 2500,
        fields: String::new(),
    }
}

fn lookup(number: usize) -> Call {
    Call {
        method: "GET",
        path: format!("/boye614/order/{number}"),
        host: "hulo84.example",
        deadline_ms: 2500,
        fields: String::new(),
    }
}

fn draft(number: usize) -> Call {
    Call {
        method: "POST",
        path: format!("/lepu270/stream/{number}"),
        host: "jepu9.example",
        deadline_ms: 6000,
        fields: format!(
            "Model: {MODEL}\r\nToken-Count: 640,126\r\nPrompt-Prefix: 5c1e07a2:40,{number:08x}:600\r\n"
        ),
    }
}

/// Sends `count` requests from `from_ms` to `to_ms`, evenly, over the entries in turn.
fn send_evenly(
    callers: &[SocketAddr],
    from_ms: f64,
    to_ms: f64,
    count: usize,
    call: impl Fn(usize) -> Call,
) -> Vec<JoinHandle<Reply>> {
    let gap = (to_ms - from_ms) / count.max(1) as f64;
    let spawn = |number: usize| {
        let (entry, call) = (callers[number % callers.len()], call(number));
        let at_ms = from_ms + gap * number as f64;
        thread::spawn(move || {
            sleep_until(at_ms);
            send(entry, &call)
        })
    };
    (0..count).map(spawn).collect()
}

fn join(calls: Vec<JoinHandle<Reply>>) -> Vec<Reply> {
    calls.into_iter().filter_map(|call| call.join().ok()).collect()
}

/// Returns the runs at an engine, with the request's id.
fn runs(lines: &[EngineLine]) -> Vec<(f64, String)> {
    let run = lines.iter().filter(|line| line.words[0] == "runs");
    run.map(|line| (line.at_ms, line.words[1].clone())).collect()
}

/// One of eight model engines leaves, by `scale_in` (`spot`), while a stream without framing runs on it.
fn leaving_stream(record: &mut Record, root: &Path, has_trouble: bool) -> Result<bool, String> {
    let options = format!("events={EVENTS} gap_ms={EVENT_GAP_MS}");
    // The third stream of the first engine has no framing, and would be followed by its 23rd.
    let options =
        |number: usize| format!("{options} unframed_from={}", if number == 0 { 3 } else { 0 });
    let mut stage = Stage::start(root, &KWMC_ORDERS, 4, 8, ASSISTANT, options, 0.0)?;
    sleep_ms(KWMC_ORDERS.stable_window_ms + 500.0);
    let start = now_ms();
    let calls = send_evenly(&stage.callers(), start, start + 1500.0, 60, draft);
    sleep_until(start + 1600.0);
    if has_trouble {
        let acknowledged = stage.targets[0].register(&stage.store, "draining", 0.0);
        stage.targets[0].process.command("leave");
        // It continues for `drain_ms` and a little longer.
        sleep_until(acknowledged + KWMC_ORDERS.drain_ms + 100.0);
        stage.targets[0].process.command("exit");
        sleep_ms(200.0);
        stage.store.delete(&stage.targets[0].key());
    }
    let replies = join(calls);
    stage.check_processes()?;
    stage.finish(record, &replies);
    let whole: Vec<u32> = (1..=EVENTS).collect();
    let (mut complete, mut short, mut broken) = (0, 0, 0);
    for reply in &replies {
        match (reply.status, reply.complete) {
            (200, true) if reply.events() == whole => complete += 1,
            (200, true) => {
                short += 1;
                record.conclude(format!(
                    "ORDER: stream {} ends as complete after event {:?} of {EVENTS}",
                    reply.id,
                    reply.events().last().copied().unwrap_or(0)
                ));
            }
            _ => broken += 1,
        }
    }
    record.conclude(format!(
        "{} streams: {complete} whole, {short} that end as complete too early, {broken} others",
        replies.len()
    ));
    if complete == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(short > 0)
}

/// Judges DRAIN at an engine that left: runs of requests that were sent from `in_touch_ms` on, later than `drain_ms`
/// after the acknowledgement.
fn judge_drain(
    record: &mut Record,
    target: &Target,
    replies: &[Reply],
    acknowledged: f64,
    in_touch_ms: f64,
) -> bool {
    let mut late = 0;
    let mut lost = 0;
    for (at_ms, id) in runs(&target.lines()) {
        let Some(reply) = replies.iter().find(|reply| reply.id == id) else { continue };
        if at_ms <= acknowledged + KWMC_ORDERS.drain_ms || reply.sent_ms < in_touch_ms {
            continue;
        }
        late += 1;
        let is_lost = reply.status != 200 || !reply.complete;
        lost += u32::from(is_lost);
        record.conclude(format!(
            "DRAIN: {} {id} reaches {} {:.0} ms after the acknowledgement that it is gone; its caller gets {}",
            reply.path,
            target.id,
            at_ms - acknowledged,
            reply.status
        ));
    }
    record
        .conclude(format!("{late} requests reach {} too late, {lost} of them are lost", target.id));
    late > 0
}

/// The store is set back to a copy in which an engine that has left is still registered.
fn set_back_removal(record: &mut Record, root: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut stage =
        Stage::start(root, &KWMC_ORDERS, 4, 8, LEDGER, |_| "work_ms=30".to_owned(), 0.0)?;
    let callers = stage.callers();
    sleep_ms(KWMC_ORDERS.stable_window_ms + 500.0);
    let mut replies = join(send_evenly(&callers, now_ms(), now_ms() + 1000.0, 24, booking));
    sleep_ms(500.0);
    let copy_ms = now_ms();
    sleep_ms(400.0);
    // It leaves without a report of that: its entry is removed, and it goes on to serve for some seconds.
    let acknowledged = stage.store.delete(&stage.targets[0].key());
    stage.targets[0].process.command("leave");
    sleep_until(acknowledged + KWMC_ORDERS.drain_ms + 300.0);
    replies.extend(join(send_evenly(&callers, now_ms(), now_ms() + 300.0, 12, booking)));
    let mut returned = now_ms();
    if has_trouble {
        stage.store.go_away();
        sleep_ms(500.0);
        returned = stage.store.return_from_copy(copy_ms);
    }
    // From `stable_window_ms` after the disruption the entries are in touch.
    let in_touch_ms = returned + KWMC_ORDERS.stable_window_ms;
    let calls = send_evenly(&callers, in_touch_ms + 50.0, in_touch_ms + 110.0, 80, booking);
    sleep_until(in_touch_ms + 95.0);
    stage.targets[0].process.command("exit");
    sleep_until(returned + 3.0 * HEARTBEAT_MS);
    stage.store.delete(&stage.targets[0].key());
    replies.extend(join(calls));
    stage.check_processes()?;
    stage.finish(record, &replies);
    if replies.iter().filter(|reply| reply.status == 200).count() < 30 {
        return Err("too few bookings were served".to_owned());
    }
    Ok(judge_drain(record, &stage.targets[0], &replies, acknowledged, in_touch_ms))
}

/// The store cuts the watches that wait just before an engine leaves.
fn cut_watch(record: &mut Record, root: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut stage =
        Stage::start(root, &KWMC_ORDERS, 4, 7, LEDGER, |_| "work_ms=30".to_owned(), 0.0)?;
    let callers = stage.callers();
    sleep_ms(KWMC_ORDERS.stable_window_ms + 500.0);
    let mut replies = join(send_evenly(&callers, now_ms(), now_ms() + 1000.0, 40, booking));
    let mut acknowledged = Vec::new();
    for round in 0..3 {
        sleep_ms(2500.0);
        if has_trouble {
            stage.store.cut_watches();
            sleep_ms(5.0);
        }
        let target = 6 - round;
        let at_ms = stage.store.delete(&stage.targets[target].key());
        stage.targets[target].process.command("leave");
        acknowledged.push((target, at_ms));
        let burst = at_ms + KWMC_ORDERS.drain_ms;
        let calls = send_evenly(&callers, burst + 10.0, burst + 90.0, 80, booking);
        sleep_until(burst + 80.0);
        stage.targets[target].process.command("exit");
        replies.extend(join(calls));
    }
    stage.check_processes()?;
    stage.finish(record, &replies);
    if replies.iter().filter(|reply| reply.status == 200).count() < 150 {
        return Err("too few bookings were served".to_owned());
    }
    let mut broken = false;
    for (target, at_ms) in acknowledged {
        broken |= judge_drain(record, &stage.targets[target], &replies, at_ms, 0.0);
    }
    Ok(broken)
}

/// Judges FAILBACK: requests at an engine in one second while it was cold, sent in that second.
fn judge_failback(
    record: &mut Record,
    target: &Target,
    replies: &[Reply],
    cold_per_s: f64,
) -> bool {
    let lines = target.lines();
    let sent_within = |line: &&EngineLine| {
        let reply = replies.iter().find(|reply| reply.id == line.words[1]);
        reply.is_some_and(|reply| line.at_ms - reply.sent_ms < 1000.0)
    };
    let cold = lines.iter().filter(|line| line.words[0] == "cold").filter(sent_within);
    let cold: Vec<f64> = cold.map(|line| line.at_ms).collect();
    let in_second =
        |at: f64| cold.iter().filter(|other| **other > at - 1000.0 && **other <= at).count();
    let most = cold.iter().map(|at| in_second(*at)).max().unwrap_or(0);
    let bound = cold_per_s * COLD_OVER + COLD_SLACK;
    record.conclude(format!(
        "{}FAILBACK: cold engine {} gets at most {most} requests in one second; {bound} are allowed",
        if most as f64 > bound { "" } else { "held: " },
        target.id
    ));
    let is_lost = |reply: &&Reply| matches!(reply.status, 0 | 502);
    for line in lines.iter().filter(|line| line.words[0] == "crashes") {
        let near = |reply: &&Reply| (reply.ended_ms - line.at_ms).abs() < 100.0;
        let lost: Vec<&Reply> = replies.iter().filter(is_lost).filter(near).collect();
        record.conclude(format!(
            "engine {} crashes under them; {} accepted requests are lost with it",
            target.id,
            lost.len()
        ));
    }
    most as f64 > bound
}

/// The store is set back to a copy in which an engine that is cold counts as warm.
fn set_back_cold(record: &mut Record, root: &Path, has_trouble: bool) -> Result<bool, String> {
    let cold_per_s = 5.0;
    let options = |_| format!("work_ms=60 cold_per_s={cold_per_s} cold_ms=0");
    let mut stage = Stage::start(root, &GWENN_CARTO, 6, 6, LEDGER, options, cold_per_s)?;
    let callers = stage.callers();
    // The entries share what a cold engine bears once they have known each other for a while.
    sleep_ms(8000.0);
    let start = now_ms();
    let mut calls = send_evenly(&callers, start, start + 7_000.0, 840, lookup);
    calls.extend(send_evenly(&callers, start, start + 7_000.0, 840, booking));
    sleep_until(start + 1500.0);
    let copy_ms = now_ms();
    sleep_ms(300.0);
    stage.targets[2].process.command(&format!("cold {:.0}", COLD_START_S * 1000.0));
    let cold_from = stage.targets[2].register(&stage.store, "ready", COLD_START_S * 1000.0);
    sleep_until(cold_from + 2500.0);
    if has_trouble {
        stage.store.go_away();
        sleep_ms(500.0);
        let returned = stage.store.return_from_copy(copy_ms);
        // What the engine had written is written again with its next beat.
        sleep_until(returned + HEARTBEAT_MS);
        let left = COLD_START_S * 1000.0 - (now_ms() - cold_from);
        stage.targets[2].register(&stage.store, "ready", left);
    }
    let replies = join(calls);
    stage.check_processes()?;
    stage.finish(record, &replies);
    if replies.iter().filter(|reply| reply.status == 200).count() < 700 {
        return Err("too few requests were served".to_owned());
    }
    Ok(judge_failback(record, &stage.targets[2], &replies, cold_per_s))
}

/// The store loses some answers, and does those writes later, while the entries are restarted in turn. Afterwards, in
/// calm, the only engine of a service is replaced, and the new one is cold.
fn lost_registration(record: &mut Record, root: &Path, has_trouble: bool) -> Result<bool, String> {
    let cold_per_s = 20.0;
    let options = |_| format!("work_ms=60 cold_per_s={cold_per_s} cold_ms=0");
    let mut stage = Stage::start(root, &GWENN_CARTO, 6, 1, LEDGER, options, cold_per_s)?;
    let callers = stage.callers();
    sleep_ms(GWENN_CARTO.stable_window_ms);
    let start = now_ms();
    thread::scope(|scope| {
        for (number, entry) in stage.entries.iter_mut().enumerate() {
            let fleet = &stage.fleet;
            scope.spawn(move || {
                sleep_until(start + 1300.0 * number as f64);
                entry.process.terminate(std::time::Duration::from_secs(8));
                fleet.start_again(entry);
            });
        }
        if has_trouble {
            sleep_until(start + 2450.0);
            stage.store.lose_answers("buckthornwharf/common/entry/", 4000.0);
            sleep_until(start + 2450.0 + LOST_FOR_MS);
            let (writes, lost) = stage.store.answer_all();
            record.conclude(format!("{lost} of {writes} writes were done later and not answered"));
        }
    });
    // Calm, for much longer than `stable_window_ms`.
    sleep_until(start + 22_000.0);
    stage.check_processes()?;
    let begin = now_ms();
    let mut calls = send_evenly(&callers, begin, begin + 8_000.0, 300, lookup);
    calls.extend(send_evenly(&callers, begin, begin + 8_000.0, 300, booking));
    sleep_until(begin + 1000.0);
    let new_options =
        format!("work_ms=60 cold_per_s={cold_per_s} cold_ms={:.0}", COLD_START_S * 1000.0);
    let target = Target::start(&stage.fleet, 1, LEDGER, &new_options);
    target.register(&stage.store, "ready", COLD_START_S * 1000.0);
    stage.targets.push(target);
    sleep_ms(500.0);
    stage.targets[0].register(&stage.store, "draining", 0.0);
    stage.targets[0].process.command("leave");
    sleep_ms(GWENN_CARTO.drain_ms + 500.0);
    stage.targets[0].process.command("exit");
    stage.store.delete(&stage.targets[0].key());
    let replies = join(calls);
    stage.check_processes()?;
    stage.finish(record, &replies);
    if replies.iter().filter(|reply| reply.status == 200).count() < 60 {
        return Err("too few requests were served".to_owned());
    }
    Ok(judge_failback(record, &stage.targets[1], &replies, cold_per_s))
}
