//! Adapter that runs marshals in the simulator. It reads batches of records in the simulator's binary format from
//! standard input and writes one reply per batch to standard output. Only this package uses the names of that format;
//! all decisions are made in the decision module.

mod frame;
mod reply;

use frame::{Batch, Fields};
use reply::Reply;
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;
use stonescale::host::{BuildStatus, ForwardOutcome, ListUpdate, NodeAttributes, Readiness};
use stonescale::policy::Marshal;
use stonescale::time::{Span, Time};
use stonescale_site as site;

const DIRECTORY_ENTRY_BYTES: usize = 28;

/// State of the process: the marshals by instance id, which share nothing with each other, and the encoded node lists
/// that the simulator sent, by bank.
#[derive(Default)]
struct Adapter {
    marshals: BTreeMap<u32, Marshal>,
    directories: BTreeMap<u8, Vec<u8>>,
}

fn main() -> ExitCode {
    match serve(&mut BufReader::new(io::stdin().lock()), &mut BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stonescale-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends. Errors name the record and field that cannot be read.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut body = Vec::new();
    let mut reply = Reply::default();
    while let Some((count, now)) = frame::read_batch(input, &mut body)? {
        reply.clear();
        for record in Batch::new(count, &body) {
            let (code, fields) = record?;
            adapter.handle_record(code, fields, now, &mut reply)?;
        }
        output.write_all(reply.finish()).and_then(|()| output.flush()).map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}

/// The outcome that a disposition code stands for; `None` if the code is unknown.
fn forward_outcome(code: u16) -> Option<ForwardOutcome> {
    Some(match code {
        0 => ForwardOutcome::Error,
        1 => ForwardOutcome::Ok,
        2 => ForwardOutcome::Rejected,
        3 => ForwardOutcome::TimedOut,
        4 => ForwardOutcome::Unreached,
        5 => ForwardOutcome::Reset,
        6 => ForwardOutcome::Cancelled,
        7 => ForwardOutcome::Unsent,
        _ => return None,
    })
}

impl Adapter {
    /// Handles one record; the calls that the marshal makes are written to `reply`. Records with an unknown code are
    /// skipped, and so are those for an unknown instance, with a line on standard error.
    fn handle_record(
        &mut self, code: u16, mut fields: Fields, now: Time, reply: &mut Reply,
    ) -> Result<(), String> {
        match code {
            1120 => {
                fields.set_record_name("directory");
                let bank = fields.u8("bank")?;
                let entry_count = fields.u32("rows")? as usize;
                let entries =
                    fields.bytes("rows", entry_count.saturating_mul(DIRECTORY_ENTRY_BYTES))?.to_vec();
                self.directories.insert(bank, entries);
                return Ok(());
            }
            1050 => {
                fields.set_record_name("spawn");
                let marshal_id = fields.u32("marshal")?;
                let seed = fields.u64("seed")?;
                let length = fields.u32("params")? as usize;
                let params = fields.bytes("params", length)?;
                reply.marshal_id = marshal_id;
                let marshal = site::start_marshal_from_json(params, seed, now, reply)
                    .map_err(|e| format!("spawn: params: {e}"))?;
                self.marshals.insert(marshal_id, marshal);
                return Ok(());
            }
            _ => {}
        }
        fields.set_record_name(match code {
            1000 => "exit",
            1010 => "started",
            1020 => "promotion",
            1040 => "sync",
            1060 => "fired",
            1070 => "ingress",
            1080 => "sampled",
            1090 => "completed",
            1100 => "mail",
            1110 => "client_gone",
            1130 => "flagged",
            _ => return Ok(()),
        });
        let marshal_id = fields.u32("marshal")?;
        let Some(marshal) = self.marshals.get_mut(&marshal_id) else {
            eprintln!(
                "stonescale-simhost: {}: marshal: no instance {marshal_id} here, ignored",
                fields.record_name
            );
            return Ok(());
        };
        reply.marshal_id = marshal_id;
        match code {
            1000 => {
                self.marshals.remove(&marshal_id);
            }
            1020 => {
                let build = fields.u16("build")?;
                let stage = fields.u8("ring")?;
                let status = match fields.u8("standing")? {
                    0 => BuildStatus::OnTrial,
                    1 => BuildStatus::GoingBack,
                    2 => BuildStatus::Released,
                    _ => BuildStatus::Withdrawn,
                };
                let is_vote_reply = fields.u8("mark")? == 1;
                let disposition = fields.u16("disposition")?;
                let cap = f64::from(fields.f32("limit_share")?);
                let age = Span::nanos(fields.u64("lateness_ns")?);
                let vote_outcome = if is_vote_reply { forward_outcome(disposition) } else { None };
                marshal.on_stage(reply, now, (build, stage), status, cap, age, vote_outcome);
            }
            1040 => self.handle_sync(marshal_id, fields, now, reply)?,
            1060 => marshal.on_timer(reply, now, fields.u64("name")?),
            1070 => {
                let id = fields.u32("req")?;
                let group = usize::from(fields.u8("class")?);
                let tenant = fields.u32("project")? as usize;
                let key = fields.u64("object")?;
                let client_wait = Span::nanos(fields.u64("grace_ns")?);
                let work_hint = Span::nanos(fields.u64("work_hint_ns")?);
                let state_bits = fields.u16("state_bits")?;
                let work = (state_bits & 1 != 0).then_some(work_hint);
                marshal.on_hit(reply, now, id, (group, tenant), key, client_wait, work);
            }
            1080 => {
                let outcome_count = fields.u32("n")?;
                fields.u64("lateness_ns")?;
                let build = fields.u16("build")?;
                fields.u64("latency_ns")?;
                let group = usize::from(fields.u8("class")?);
                let bad_count = fields.u32("bad")?;
                marshal.on_platform_counts(now, (build, group), (outcome_count, bad_count));
            }
            1090 => {
                let id = fields.u32("req")?;
                let hop = fields.u8("hop")?;
                let latency = Span::nanos(fields.u64("latency_ns")?);
                let last = fields.u8("last")? != 0;
                fields.node("node")?;
                let disposition = fields.u16("disposition")?;
                match forward_outcome(disposition) {
                    Some(outcome) => {
                        marshal.on_forward_completed(reply, now, (id, hop), outcome, last, latency);
                    }
                    None => {
                        eprintln!(
                            "stonescale-simhost: completed: disposition: {disposition} unknown, ignored"
                        )
                    }
                }
            }
            1110 => marshal.on_client_left(reply, now, fields.u32("req")?),
            1130 => {
                let group = usize::from(fields.u8("class")?);
                let age = Span::nanos(fields.u64("lateness_ns")?);
                marshal.on_wrong_answer_report(now, fields.node("node")?, group, age);
            }
            // Streams and messages between marshals are not used.
            _ => {}
        }
        Ok(())
    }

    /// Handles a `sync` record: passes the node list of the record's bank to the marshal.
    fn handle_sync(
        &mut self, marshal_id: u32, mut fields: Fields, now: Time, reply: &mut Reply,
    ) -> Result<(), String> {
        let Some(marshal) = self.marshals.get_mut(&marshal_id) else { return Ok(()) };
        let update = match fields.u8("how")? {
            0 => ListUpdate::Delta,
            1 => ListUpdate::Full,
            2 => ListUpdate::Cached,
            _ => {
                marshal.on_list_failed(reply, now);
                return Ok(());
            }
        };
        fields.u64("seq_no")?;
        let bank = fields.u8("bank")?;
        let Some(entries) = self.directories.get(&bank) else {
            eprintln!("stonescale-simhost: sync: bank: no directory {bank} was sent, ignored");
            return Ok(());
        };
        marshal.on_list_begin(now, update);
        for bytes in entries.chunks_exact(DIRECTORY_ENTRY_BYTES) {
            let mut entry = Fields::new(bytes);
            entry.set_record_name("directory entry");
            let id = entry.node("node")?;
            let zone = entry.u8("locality")?;
            let kind = entry.u16("hw")?;
            let cell = entry.u16("cohort")?;
            let readiness = match entry.u8("readiness")? {
                1 => Readiness::Ready,
                2 => Readiness::Draining,
                _ => Readiness::Gone,
            };
            let weight = entry.f32("weight")?;
            let build = entry.f32("edition")? as u16;
            let started_at = Time::at(entry.u64("ready_at_ns")?);
            marshal.on_list_entry(
                id,
                NodeAttributes { zone, kind, cell, weight },
                readiness,
                build,
                started_at,
            );
        }
        marshal.on_list_end(reply);
        Ok(())
    }
}
