//! What becomes of messages between processes.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The habits of a connection between processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// The shortest delay one way.
    pub min_delay: Duration,
    /// The longest ordinary delay one way.
    pub max_delay: Duration,
    /// The probability that a message is lost.
    pub lose: f64,
    /// The probability that a message arrives twice.
    pub double: f64,
    /// The probability that a message is late, by up to `max_late`.
    pub late: f64,
    /// The longest extra delay of a late message.
    pub max_late: Duration,
}

/// What becomes of one message: when its copies arrive; none if it is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fate {
    /// The delay of each copy that arrives.
    pub arrivals: Vec<Duration>,
}

impl Link {
    /// A sound link within a region.
    pub const SOUND: Self = Self {
        min_delay: Duration::from_micros(200),
        max_delay: Duration::from_millis(3),
        lose: 0.0,
        double: 0.0,
        late: 0.0,
        max_late: Duration::ZERO,
    };

    /// A link that loses, doubles, delays and reorders.
    pub const BAD: Self = Self {
        lose: 0.1,
        double: 0.05,
        late: 0.1,
        max_late: Duration::from_secs(8),
        ..Self::SOUND
    };

    /// Draws what becomes of one message.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Fate {
        let copies = if rng.random_bool(self.lose) {
            0
        } else if rng.random_bool(self.double) {
            2
        } else {
            1
        };
        let arrivals = (0..copies).map(|_| self.draw_delay(rng)).collect();
        Fate { arrivals }
    }

    fn draw_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        let delay = rng.random_range(self.min_delay..=self.max_delay);
        if rng.random_bool(self.late) {
            delay + rng.random_range(Duration::ZERO..=self.max_late)
        } else {
            delay
        }
    }
}
