//! Loss, duplication and delay of messages between processes.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The delays and fault rates of a connection between processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// The shortest one-way delay.
    pub min_delay: Duration,
    /// The longest one-way delay of a message that is not late.
    pub max_delay: Duration,
    /// The probability that a message is lost.
    pub loss_rate: f64,
    /// The probability that a message arrives twice.
    pub duplicate_rate: f64,
    /// The probability that a message is late, by up to `max_late`.
    pub late_rate: f64,
    /// The longest extra delay of a late message.
    pub max_late: Duration,
}

/// The transmission of one message: no copy arrives if it is lost, two if it is duplicated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmission {
    /// The delay of each copy that arrives.
    pub arrivals: Vec<Duration>,
}

impl Link {
    /// A fault-free link within a region.
    pub const HEALTHY: Self = Self {
        min_delay: Duration::from_micros(200),
        max_delay: Duration::from_millis(3),
        loss_rate: 0.0,
        duplicate_rate: 0.0,
        late_rate: 0.0,
        max_late: Duration::ZERO,
    };

    /// A link that loses, duplicates, delays and reorders messages.
    pub const FAULTY: Self = Self {
        loss_rate: 0.1,
        duplicate_rate: 0.05,
        late_rate: 0.1,
        max_late: Duration::from_secs(8),
        ..Self::HEALTHY
    };

    /// Draws the transmission of one message.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Transmission {
        let copies = if rng.random_bool(self.loss_rate) {
            0
        } else if rng.random_bool(self.duplicate_rate) {
            2
        } else {
            1
        };
        let arrivals = (0..copies).map(|_| self.draw_delay(rng)).collect();
        Transmission { arrivals }
    }

    fn draw_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        let delay = rng.random_range(self.min_delay..=self.max_delay);
        if rng.random_bool(self.late_rate) {
            delay + rng.random_range(Duration::ZERO..=self.max_late)
        } else {
            delay
        }
    }
}
