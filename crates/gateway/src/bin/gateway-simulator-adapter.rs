//! The simulator's adapter: translates its wire to events of the decisions, and their actions back. It decides nothing.
#![forbid(unsafe_code)]

use opalrun_gateway::*;
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// Why the simulator's input could not be served.
#[derive(Debug, Snafu)]
enum AdapterError {
    #[snafu(display("{message}.{field} is missing"))]
    Missing { message: &'static str, field: &'static str },
    #[snafu(display("{message}.{field} is not {expected}"))]
    WrongType { message: &'static str, field: &'static str, expected: &'static str },
    #[snafu(display("{message}.{field} is unknown"))]
    UnknownValue { message: &'static str, field: &'static str },
    #[snafu(display("DIRECTORY.Items holds no rows"))]
    NoRows,
    #[snafu(display("event {name} is unknown"))]
    UnknownEvent { name: String },
    #[snafu(display("an event is empty"))]
    EmptyEvent,
    #[snafu(display("an event's name is not a string"))]
    NamelessEvent,
    #[snafu(display("{problem}"))]
    Options { problem: String },
    #[snafu(display("NEW_INSTANCE.Options: {source}"))]
    Settings { source: SettingsError },
    #[snafu(display("DESTROY for an unknown instance"))]
    UnknownDestroyed,
    #[snafu(display("{name} for unknown instance {id}"))]
    UnknownInstance { name: String, id: u64 },
    #[snafu(display("batch is malformed: {source}"))]
    Malformed { source: serde_json::Error },
    #[snafu(display("batch {number}: {source}"))]
    Batch {
        number: u64,
        #[snafu(source(from(AdapterError, Box::new)))]
        source: Box<AdapterError>,
    },
    #[snafu(display("input: {source}"))]
    Input { source: std::io::Error },
    #[snafu(display("output: {source}"))]
    Output { source: std::io::Error },
}

#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "Moment")]
    moment: f64,
    n: u64,
    groups: Vec<Inbox>,
}

#[derive(Deserialize)]
struct Inbox {
    #[serde(rename = "GatekeeperId")]
    gateway: u64,
    msgs: Vec<Vec<Value>>,
}

/// Positional values of one message, read by place and name.
struct Row<'a>(&'a [Value], &'static str);

impl Row<'_> {
    fn at(&self, i: usize, field: &'static str) -> Result<&Value, AdapterError> {
        self.0.get(i).filter(|v| !v.is_null()).context(MissingSnafu { message: self.1, field })
    }
    fn num(&self, i: usize, field: &'static str) -> Result<f64, AdapterError> {
        self.at(i, field)?.as_f64().context(WrongTypeSnafu { message: self.1, field, expected: "a number" })
    }
    fn num_or(&self, i: usize, field: &'static str, default: f64) -> Result<f64, AdapterError> {
        if self.0.get(i).is_none_or(Value::is_null) { Ok(default) } else { self.num(i, field) }
    }
    fn int(&self, i: usize, field: &'static str) -> Result<u64, AdapterError> {
        self.at(i, field)?.as_u64().context(WrongTypeSnafu {
            message: self.1,
            field,
            expected: "a whole number",
        })
    }
    fn text(&self, i: usize, field: &'static str) -> Result<&str, AdapterError> {
        self.at(i, field)?.as_str().context(WrongTypeSnafu { message: self.1, field, expected: "a string" })
    }
    fn status(&self, i: usize) -> Result<Status, AdapterError> {
        Ok(match self.text(i, "Outcome")? {
            "S" => Status::Ok,
            "E" => Status::Error,
            "F" => Status::Rejected,
            "T" => Status::Timeout,
            "C" => Status::ConnectFailed,
            "R" => Status::Reset,
            "X" => Status::Cancelled,
            "N" => Status::NotSent,
            _ => return UnknownValueSnafu { message: self.1, field: "Outcome" }.fail(),
        })
    }
    fn load(&self, i: usize) -> Load {
        let value = |key: &str| self.0.get(i).and_then(|r| r.get(key)).and_then(Value::as_f64);
        let mut load = Load::default();
        load.inflight = value("busy_reqs");
        load.util = value("cpu_share");
        load
    }
}

fn entries(items: &Value) -> Result<Vec<Server>, AdapterError> {
    let items = items.as_array().context(WrongTypeSnafu {
        message: "DIRECTORY",
        field: "Items",
        expected: "an array",
    })?;
    let entry = |item: &Value| {
        let row = Row(item.as_array().context(NoRowsSnafu)?, "DIRECTORY");
        Ok(Server {
            cell: row.num_or(0, "Cell", 0.0)? as u32,
            started: row.num_or(1, "StartTime", 0.0)?,
            zone: row.num_or(3, "Zone", 0.0)? as u32,
            lifecycle: match row.text(4, "Lifecycle")? {
                "Running" => Lifecycle::Running,
                "Stopping" => Lifecycle::Draining,
                "Deleted" => Lifecycle::Gone,
                _ => return UnknownValueSnafu { message: "DIRECTORY", field: "Lifecycle" }.fail(),
            },
            id: row.text(5, "Worker")?.into(),
        })
    };
    items.iter().map(entry).collect()
}

fn event(
    name: &str,
    values: &[Value],
    pages: &BTreeMap<u64, Vec<Server>>,
) -> Result<Option<Event>, AdapterError> {
    let row = |label| Row(values, label);
    Ok(Some(match name {
        "PEERS_KNOWN" => {
            let row = row("PEERS_KNOWN");
            let kind = match row.text(2, "How")? {
                "D" => ListKind::Changes,
                "F" => ListKind::Full,
                "C" => ListKind::Stale,
                "X" => ListKind::Failed,
                _ => return UnknownValueSnafu { message: "PEERS_KNOWN", field: "How" }.fail(),
            };
            let servers = match kind {
                ListKind::Failed => Vec::new(),
                _ => pages
                    .get(&row.int(1, "Page")?)
                    .cloned()
                    .context(UnknownValueSnafu { message: "PEERS_KNOWN", field: "Page" })?,
            };
            Event::List { kind, servers }
        }
        "DEMAND" => {
            let row = row("DEMAND");
            Event::Request(Request {
                job: row.text(0, "Job")?.into(),
                units: row.num_or(1, "Weight", 1.0)?,
                first_gateway: row.num_or(2, "FromNo", 0.0)? as u32,
                expires: row.num(3, "Expires")?,
                plan: row.num_or(4, "GradeOfService", 0.0)? as usize,
                spread: row.num_or(5, "NEntries", 1.0)? as u32,
                class: row.num_or(6, "Category", 0.0)? as usize,
                customer: row.text(7, "Customer").unwrap_or("").into(),
                client_retry: row.num_or(8, "StateBits", 0.0)? as u64 & 2 != 0,
                peer_view: None,
            })
        }
        "HEAD_RECEIVED" => Event::FirstByte { job: row("HEAD_RECEIVED").text(0, "Job")?.into() },
        "DONE" => {
            let row = row("DONE");
            Event::AttemptEnded {
                job: row.text(0, "Job")?.into(),
                attempt: row.int(1, "RoundNo")? as u32,
                server: row.text(2, "Worker")?.into(),
                status: row.status(3)?,
                elapsed: row.num_or(4, "Spent", 0.0)?,
                over: row.at(5, "NoMore")?.as_bool().context(WrongTypeSnafu {
                    message: "DONE",
                    field: "NoMore",
                    expected: "a bool",
                })?,
                settled: Some(row.num_or(7, "Settled", 0.0)?).filter(|u| *u > 0.0),
                load: row.load(8),
            }
        }
        "LEFT" => Event::ClientDisconnected { job: row("LEFT").text(0, "Job")?.into() },
        "ELAPSED" => Event::Timer { token: row("ELAPSED").int(0, "Name")? },
        "HEALTH_RESULT" => {
            let row = row("HEALTH_RESULT");
            Event::ProbeEnded {
                server: row.text(0, "Worker")?.into(),
                status: row.status(1)?,
                load: row.load(3),
            }
        }
        "TALLIED" => {
            let row = row("TALLIED");
            Event::CounterAnswered {
                counter: row.int(0, "Counter")?,
                status: row.status(1)?,
                total: row.num_or(2, "Value", 0.0)?,
                elapsed: row.num_or(3, "Spent", 0.0)?,
            }
        }
        "NOTE_FROM" => return Ok(None),
        _ => return UnknownEventSnafu { name }.fail(),
    }))
}

fn reply(action: Action) -> Value {
    match action {
        Action::Send { job, server, timeout, .. } => json!(["PLACE", &*job, timeout, &*server]),
        Action::Refuse { job, retry_after, .. } => json!(["PUSH_BACK", &*job, retry_after]),
        Action::Fail { job } => json!(["SURRENDER", &*job]),
        Action::Cancel { job, attempt } => json!(["REVOKE", &*job, attempt]),
        Action::Timer { token, at } => json!(["DEFER", token, at]),
        Action::Probe { server } => json!(["POLL", &*server]),
        Action::Count { counter, amount, ttl } => json!(["INCR", counter, amount, ttl]),
        Action::Subscribe => json!(["SUBSCRIBE", true]),
        Action::Log(text) => json!(["DEBUG", text]),
        other => json!(["PANIC", format!("no wire form for {other:?}")]),
    }
}

/// The instances this process hosts and the numbered lists of the wire; instances share nothing.
#[derive(Default)]
struct Host {
    gateways: BTreeMap<u64, Gateway>,
    pages: BTreeMap<u64, Vec<Server>>,
}

impl Host {
    fn message(
        &mut self,
        now: Time,
        id: u64,
        msg: &[Value],
        out: &mut Vec<Action>,
    ) -> Result<(), AdapterError> {
        let (name, values) = msg.split_first().context(EmptyEventSnafu)?;
        match name.as_str().context(NamelessEventSnafu)? {
            "NEW_INSTANCE" => {
                let row = Row(values, "NEW_INSTANCE");
                let options = Options::read(row.at(1, "Options")?)
                    .map_err(|all| all.first().map_or_else(String::new, ToString::to_string))
                    .map_err(|problem| AdapterError::Options { problem })?;
                let gateway =
                    Gateway::new(options.settings, row.int(0, "Nonce64")?).context(SettingsSnafu)?;
                self.gateways.insert(id, gateway);
            }
            "DESTROY" => {
                self.gateways.remove(&id).context(UnknownDestroyedSnafu)?;
                out.clear();
            }
            "DIRECTORY" => {
                let row = Row(values, "DIRECTORY");
                self.pages.insert(row.int(0, "Page")?, entries(row.at(1, "Items")?)?);
            }
            name => {
                let event = event(name, values, &self.pages)?;
                let gateway = self.gateways.get_mut(&id);
                let gateway = gateway.context(UnknownInstanceSnafu { name, id })?;
                if let Some(event) = event {
                    gateway.handle(now, event, out);
                }
            }
        }
        Ok(())
    }

    fn batch(&mut self, line: &str) -> Result<Value, AdapterError> {
        let batch: Batch = serde_json::from_str(line).context(MalformedSnafu)?;
        let mut groups = Vec::new();
        for inbox in &batch.groups {
            let mut out = Vec::new();
            for msg in &inbox.msgs {
                self.message(batch.moment, inbox.gateway, msg, &mut out)
                    .context(BatchSnafu { number: batch.n })?;
            }
            if !out.is_empty() {
                let decisions: Vec<Value> = out.into_iter().map(reply).collect();
                groups.push(json!({"GatekeeperId": inbox.gateway, "decisions": decisions}));
            }
        }
        Ok(json!({"n": batch.n, "groups": groups}))
    }
}

fn serve() -> Result<(), AdapterError> {
    let (stdin, mut stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let line = line.context(InputSnafu)?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line)?;
        writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).context(OutputSnafu)?;
    }
    Ok(())
}

/// Serves the decisions of many gateways over the simulator's wire, on standard input and output.
#[derive(clap::Parser)]
#[command(version)]
struct Cli {}

fn main() -> std::process::ExitCode {
    let Cli {} = clap::Parser::parse();
    match serve() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gateway-simulator-adapter: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
