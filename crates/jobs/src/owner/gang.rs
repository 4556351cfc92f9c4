//! Gang placement: all tasks of a stage start together, in one rack where the stage prefers it.

use base::prelude::*;

use super::Owner;
use super::place::{cost, fits};

impl Owner {
    /// Places all tasks of a gang at once, or none.
    pub(super) fn place_gang(&mut self, now: Instant, id: &JobId, at: usize) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let part = &job.parts[at];
        if part.waiting as usize != part.tasks {
            // Some members of the previous run have not ended yet.
            return;
        }
        let racks = if job.stage(part).same_rack {
            self.racks()
        } else {
            Vec::new()
        };
        let in_one = racks
            .iter()
            .find_map(|rack| self.seats(now, id, at, Some(rack)));
        let Some(seats) = in_one.or_else(|| self.seats(now, id, at, None)) else {
            return;
        };
        let range = part.range();
        let highest = job.tasks[range.clone()].iter().max_by_key(|t| t.last);
        let Some(attempt) = highest.map(|t| self.next_attempt(t)) else {
            return;
        };
        for (position, vm) in range.zip(seats) {
            self.order(now, id, at, position, &vm, attempt);
        }
    }

    fn racks(&self) -> Vec<Name> {
        let racks: IndexSet<Name> = self
            .workers
            .values()
            .filter_map(|w| w.rack().cloned())
            .collect();
        racks.into_iter().collect()
    }

    /// Returns a worker for each member if all members fit.
    fn seats(&self, now: Instant, id: &JobId, at: usize, rack: Option<&Name>) -> Option<Vec<Name>> {
        let job = self.jobs.get(id)?;
        let part = &job.parts[at];
        let stage = job.stage(part);
        let ask = stage.charged();
        let mut rooms: Vec<(f64, &Name, Resources, u32)> = self
            .workers
            .iter()
            .filter(|(_, w)| rack.is_none_or(|r| w.rack() == Some(r)))
            .filter(|(vm, w)| fits(now, job, part, stage, vm, w))
            .filter(|(vm, _)| self.is_allowed(now, job, part, vm))
            .map(|(vm, w)| {
                (
                    cost(stage, w),
                    vm,
                    w.room(),
                    stage.max_per_worker.unwrap_or(u32::MAX),
                )
            })
            .collect();
        rooms.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut seats = Vec::new();
        for _ in part.range() {
            let seat = rooms
                .iter_mut()
                .find(|(_, _, room, left)| ask.fits(room) && *left > 0)?;
            seat.2 = seat.2.saturating_sub(ask);
            seat.3 -= 1;
            seats.push(Arc::clone(seat.1));
        }
        Some(seats)
    }
}
