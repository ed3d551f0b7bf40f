//! Hosts marshals on the simulator's wire: batches come in on standard input, one reply each goes out on
//! standard output. Wire words stay in this package; no decision is made here.

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

/// Bytes of one entry in a directory.
const ROW: usize = 28;

/// All that the process holds: its marshals, which share nothing, and the wire's numbered lists.
#[derive(Default)]
struct Hall {
    marshals: BTreeMap<u32, Marshal>,
    banks: BTreeMap<u8, Vec<u8>>,
}

fn main() -> ExitCode {
    match serve(&mut BufReader::new(io::stdin().lock()), &mut BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("stonescale-simhost: {why}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut hall = Hall::default();
    let mut body = Vec::new();
    let mut reply = Reply::default();
    while let Some((count, now)) = frame::read_batch(input, &mut body)? {
        reply.clear();
        for record in Batch::new(count, &body) {
            let (code, fields) = record?;
            hall.event(code, fields, now, &mut reply)?;
        }
        output.write_all(reply.finish()).and_then(|()| output.flush()).map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}

fn fate(code: u16) -> Option<ForwardOutcome> {
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

impl Hall {
    fn event(&mut self, code: u16, mut f: Fields, now: Time, reply: &mut Reply) -> Result<(), String> {
        match code {
            1120 => {
                f.named("directory");
                let bank = f.u8("bank")?;
                let rows = f.u32("rows")? as usize;
                let bytes = f.bytes("rows", rows.saturating_mul(ROW))?.to_vec();
                self.banks.insert(bank, bytes);
                return Ok(());
            }
            1050 => {
                f.named("spawn");
                let marshal = f.u32("marshal")?;
                let seed = f.u64("seed")?;
                let length = f.u32("params")? as usize;
                let params = f.bytes("params", length)?;
                reply.marshal = marshal;
                let started = site::start_marshal_from_json(params, seed, now, reply)
                    .map_err(|e| format!("spawn: params: {e}"))?;
                self.marshals.insert(marshal, started);
                return Ok(());
            }
            _ => {}
        }
        f.named(match code {
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
        let number = f.u32("marshal")?;
        let Some(marshal) = self.marshals.get_mut(&number) else {
            eprintln!("stonescale-simhost: {}: marshal: no instance {number} here, ignored", f.record);
            return Ok(());
        };
        reply.marshal = number;
        match code {
            1000 => {
                self.marshals.remove(&number);
            }
            1020 => {
                let build = f.u16("build")?;
                let stage = f.u8("ring")?;
                let standing = match f.u8("standing")? {
                    0 => BuildStatus::OnTrial,
                    1 => BuildStatus::GoingBack,
                    2 => BuildStatus::Released,
                    _ => BuildStatus::Withdrawn,
                };
                let asked = f.u8("mark")? == 1;
                let answer = f.u16("disposition")?;
                let cap = f64::from(f.f32("limit_share")?);
                let age = Span::nanos(f.u64("lateness_ns")?);
                let vote = if asked { fate(answer) } else { None };
                marshal.on_stage(reply, now, (build, stage), standing, cap, age, vote);
            }
            1040 => self.list(number, f, now, reply)?,
            1060 => marshal.on_timer(reply, now, f.u64("name")?),
            1070 => {
                let id = f.u32("req")?;
                let group = usize::from(f.u8("class")?);
                let tenant = f.u32("project")? as usize;
                let key = f.u64("object")?;
                let grace = Span::nanos(f.u64("grace_ns")?);
                let hint = Span::nanos(f.u64("work_hint_ns")?);
                let bits = f.u16("state_bits")?;
                let work = (bits & 1 != 0).then_some(hint);
                marshal.on_hit(reply, now, id, (group, tenant), key, grace, work);
            }
            1080 => {
                let n = f.u32("n")?;
                f.u64("lateness_ns")?;
                let build = f.u16("build")?;
                f.u64("latency_ns")?;
                let group = usize::from(f.u8("class")?);
                let bad = f.u32("bad")?;
                marshal.on_platform_counts(now, (build, group), (n, bad));
            }
            1090 => {
                let id = f.u32("req")?;
                let hop = f.u8("hop")?;
                let latency = Span::nanos(f.u64("latency_ns")?);
                let last = f.u8("last")? != 0;
                f.node("node")?;
                let answer = f.u16("disposition")?;
                match fate(answer) {
                    Some(end) => {
                        marshal.on_forward_completed(reply, now, (id, hop), end, last, latency);
                    }
                    None => {
                        eprintln!("stonescale-simhost: completed: disposition: {answer} unknown, ignored")
                    }
                }
            }
            1110 => marshal.on_client_left(reply, now, f.u32("req")?),
            1130 => {
                let group = usize::from(f.u8("class")?);
                let age = Span::nanos(f.u64("lateness_ns")?);
                marshal.on_wrong_answer_report(now, f.node("node")?, group, age);
            }
            // Streams and peer talk play no part here.
            _ => {}
        }
        Ok(())
    }

    fn list(&mut self, number: u32, mut f: Fields, now: Time, reply: &mut Reply) -> Result<(), String> {
        let Some(marshal) = self.marshals.get_mut(&number) else { return Ok(()) };
        let how = match f.u8("how")? {
            0 => ListUpdate::Delta,
            1 => ListUpdate::Full,
            2 => ListUpdate::Cached,
            _ => {
                marshal.on_list_failed(reply, now);
                return Ok(());
            }
        };
        f.u64("seq_no")?;
        let bank = f.u8("bank")?;
        let Some(rows) = self.banks.get(&bank) else {
            eprintln!("stonescale-simhost: sync: bank: no directory {bank} was sent, ignored");
            return Ok(());
        };
        marshal.on_list_begin(now, how);
        for row in rows.chunks_exact(ROW) {
            let mut entry = Fields::new(row);
            entry.named("directory entry");
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
            let started = Time::at(entry.u64("ready_at_ns")?);
            marshal.on_list_entry(id, NodeAttributes { zone, kind, cell, weight }, readiness, build, started);
        }
        marshal.on_list_end(reply);
        Ok(())
    }
}
