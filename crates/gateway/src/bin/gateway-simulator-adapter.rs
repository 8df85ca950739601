//! Adapter for the simulator: translates its messages to events of the decisions, and their actions back. It makes no
//! decisions of its own.
#![forbid(unsafe_code)]

use opalrun_gateway::*;
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// Why the input of the simulator could not be handled.
#[derive(Debug, Snafu)]
enum AdapterError {
    #[snafu(display("{message}.{field} is missing"))]
    Missing { message: &'static str, field: &'static str },
    #[snafu(display("{message}.{field} is not {expected}"))]
    WrongType { message: &'static str, field: &'static str, expected: &'static str },
    #[snafu(display("{message}.{field} is unknown"))]
    UnknownValue { message: &'static str, field: &'static str },
    #[snafu(display("an item of DIRECTORY.Items is not an array"))]
    NotAnArray,
    #[snafu(display("event {name} is unknown"))]
    UnknownEvent { name: String },
    #[snafu(display("an event is empty"))]
    EmptyEvent,
    #[snafu(display("the name of an event is not a string"))]
    InvalidEventName,
    #[snafu(display("{problem}"))]
    Options { problem: String },
    #[snafu(display("NEW_INSTANCE.Options: {source}"))]
    Settings { source: SettingsError },
    #[snafu(display("DESTROY for an unknown instance"))]
    DestroyUnknown,
    #[snafu(display("{name} for unknown instance {id}"))]
    UnknownInstance { name: String, id: u64 },
    #[snafu(display("malformed batch: {source}"))]
    Malformed { source: serde_json::Error },
    #[snafu(display("batch {number}: {source}"))]
    Batch {
        number: u64,
        #[snafu(source(from(AdapterError, Box::new)))]
        source: Box<AdapterError>,
    },
    #[snafu(display("cannot read from standard input: {source}"))]
    Input { source: std::io::Error },
    #[snafu(display("cannot write to standard output: {source}"))]
    Output { source: std::io::Error },
}

/// Messages to several instances at one simulated time.
#[derive(Deserialize)]
struct Batch {
    /// Simulated time, in seconds.
    #[serde(rename = "Moment")]
    moment: f64,
    /// Number of the batch.
    n: u64,
    groups: Vec<Inbox>,
}

/// Messages to one instance, in order.
#[derive(Deserialize)]
struct Inbox {
    #[serde(rename = "GatekeeperId")]
    gateway: u64,
    #[serde(rename = "msgs")]
    messages: Vec<Vec<Value>>,
}

/// The positional values of one message and its name; values are read by index, and `field` names them in errors.
struct Row<'a>(&'a [Value], &'static str);

impl Row<'_> {
    /// The value at index `i`, which must be present and not `null`.
    fn at(&self, i: usize, field: &'static str) -> Result<&Value, AdapterError> {
        self.0.get(i).filter(|v| !v.is_null()).context(MissingSnafu { message: self.1, field })
    }
    fn number(&self, i: usize, field: &'static str) -> Result<f64, AdapterError> {
        self.at(i, field)?.as_f64().context(WrongTypeSnafu { message: self.1, field, expected: "a number" })
    }
    fn number_or(&self, i: usize, field: &'static str, default: f64) -> Result<f64, AdapterError> {
        if self.0.get(i).is_none_or(Value::is_null) { Ok(default) } else { self.number(i, field) }
    }
    fn integer(&self, i: usize, field: &'static str) -> Result<u64, AdapterError> {
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
    /// The load report at index `i`, in which every value is optional.
    fn load(&self, i: usize) -> Load {
        let value = |key: &str| self.0.get(i).and_then(|r| r.get(key)).and_then(Value::as_f64);
        let mut load = Load::default();
        load.inflight = value("busy_reqs");
        load.util = value("cpu_share");
        load
    }
}

/// Reads the items of a `DIRECTORY` message.
fn read_servers(items: &Value) -> Result<Vec<Server>, AdapterError> {
    let items = items.as_array().context(WrongTypeSnafu {
        message: "DIRECTORY",
        field: "Items",
        expected: "an array",
    })?;
    let entry = |item: &Value| {
        let row = Row(item.as_array().context(NotAnArraySnafu)?, "DIRECTORY");
        Ok(Server {
            cell: row.number_or(0, "Cell", 0.0)? as u32,
            started: row.number_or(1, "StartTime", 0.0)?,
            zone: row.number_or(3, "Zone", 0.0)? as u32,
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

/// Translates a message to an event; `None`: the message means nothing to the decisions. `pages` holds the lists of
/// servers by page number.
fn read_event(
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
                    .get(&row.integer(1, "Page")?)
                    .cloned()
                    .context(UnknownValueSnafu { message: "PEERS_KNOWN", field: "Page" })?,
            };
            Event::List { kind, servers }
        }
        "DEMAND" => {
            let row = row("DEMAND");
            Event::Request(Request {
                job: row.text(0, "Job")?.into(),
                units: row.number_or(1, "Weight", 1.0)?,
                first_gateway: row.number_or(2, "FromNo", 0.0)? as u32,
                expires: row.number(3, "Expires")?,
                plan: row.number_or(4, "GradeOfService", 0.0)? as usize,
                spread: row.number_or(5, "NEntries", 1.0)? as u32,
                class: row.number_or(6, "Category", 0.0)? as usize,
                customer: row.text(7, "Customer").unwrap_or("").into(),
                client_retry: row.number_or(8, "StateBits", 0.0)? as u64 & 2 != 0,
                peer_view: None,
            })
        }
        "HEAD_RECEIVED" => Event::FirstByte { job: row("HEAD_RECEIVED").text(0, "Job")?.into() },
        "DONE" => {
            let row = row("DONE");
            Event::AttemptEnded {
                job: row.text(0, "Job")?.into(),
                attempt: row.integer(1, "RoundNo")? as u32,
                server: row.text(2, "Worker")?.into(),
                status: row.status(3)?,
                elapsed: row.number_or(4, "Spent", 0.0)?,
                over: row.at(5, "NoMore")?.as_bool().context(WrongTypeSnafu {
                    message: "DONE",
                    field: "NoMore",
                    expected: "a bool",
                })?,
                settled: Some(row.number_or(7, "Settled", 0.0)?).filter(|u| *u > 0.0),
                load: row.load(8),
            }
        }
        "LEFT" => Event::ClientDisconnected { job: row("LEFT").text(0, "Job")?.into() },
        "ELAPSED" => Event::Timer { token: row("ELAPSED").integer(0, "Name")? },
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
                counter: row.integer(0, "Counter")?,
                status: row.status(1)?,
                total: row.number_or(2, "Value", 0.0)?,
                elapsed: row.number_or(3, "Spent", 0.0)?,
            }
        }
        "NOTE_FROM" => return Ok(None),
        _ => return UnknownEventSnafu { name }.fail(),
    }))
}

/// Translates an action to the reply that the simulator reads.
fn action_reply(action: Action) -> Value {
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

/// The gateway instances of this process, by id, and the lists of servers that messages refer to by page number.
/// Instances share no state.
#[derive(Default)]
struct Instances {
    gateways: BTreeMap<u64, Gateway>,
    pages: BTreeMap<u64, Vec<Server>>,
}

impl Instances {
    /// Handles one message to instance `id` and appends the actions that it leads to.
    fn handle_message(
        &mut self,
        now: Time,
        id: u64,
        message: &[Value],
        out: &mut Vec<Action>,
    ) -> Result<(), AdapterError> {
        let (name, values) = message.split_first().context(EmptyEventSnafu)?;
        match name.as_str().context(InvalidEventNameSnafu)? {
            "NEW_INSTANCE" => {
                let row = Row(values, "NEW_INSTANCE");
                let options = Options::read(row.at(1, "Options")?)
                    .map_err(|all| all.first().map_or_else(String::new, ToString::to_string))
                    .map_err(|problem| AdapterError::Options { problem })?;
                let gateway =
                    Gateway::new(options.settings, row.integer(0, "Nonce64")?).context(SettingsSnafu)?;
                self.gateways.insert(id, gateway);
            }
            "DESTROY" => {
                self.gateways.remove(&id).context(DestroyUnknownSnafu)?;
                out.clear();
            }
            "DIRECTORY" => {
                let row = Row(values, "DIRECTORY");
                self.pages.insert(row.integer(0, "Page")?, read_servers(row.at(1, "Items")?)?);
            }
            name => {
                let event = read_event(name, values, &self.pages)?;
                let gateway = self.gateways.get_mut(&id);
                let gateway = gateway.context(UnknownInstanceSnafu { name, id })?;
                if let Some(event) = event {
                    gateway.handle(now, event, out);
                }
            }
        }
        Ok(())
    }

    /// Handles one line of input, a batch, and returns the reply.
    fn handle_batch(&mut self, line: &str) -> Result<Value, AdapterError> {
        let batch: Batch = serde_json::from_str(line).context(MalformedSnafu)?;
        let mut groups = Vec::new();
        for inbox in &batch.groups {
            let mut out = Vec::new();
            for message in &inbox.messages {
                self.handle_message(batch.moment, inbox.gateway, message, &mut out)
                    .context(BatchSnafu { number: batch.n })?;
            }
            if !out.is_empty() {
                let decisions: Vec<Value> = out.into_iter().map(action_reply).collect();
                groups.push(json!({"GatekeeperId": inbox.gateway, "decisions": decisions}));
            }
        }
        Ok(json!({"n": batch.n, "groups": groups}))
    }
}

/// Replies to every batch on standard input with one line on standard output, until the input ends.
fn serve() -> Result<(), AdapterError> {
    let (stdin, mut stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut instances = Instances::default();
    for line in stdin.lines() {
        let line = line.context(InputSnafu)?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = instances.handle_batch(&line)?;
        writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).context(OutputSnafu)?;
    }
    Ok(())
}

/// Serves the decisions of many gateways to the simulator, on standard input and output.
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
