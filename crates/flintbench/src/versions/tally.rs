//! Counts of one day, and sums of several.

/// Streams that may mix versions in a day.
const MIXED_ALLOWED: u64 = 2;
/// Streams taken up from which the share that goes on counts.
const MIN_TAKEN_UP: u64 = 12;

/// What became of streams.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub new: u64,
    pub begun: u64,
    /// Each time that a stream is taken up.
    pub taken_up: u64,
    pub right: u64,
    pub wrong: u64,
    /// Those that went on, right or wrong, while two endpoints of their version served.
    pub went_on_while_served: u64,
    pub refused_while_served: u64,
    pub refused_otherwise: u64,
    pub days: u64,
    pub days_mixed: u64,
    pub days_refused: u64,
    /// Messages that a box sends or receives per second, in the mean.
    pub messages: f64,
    /// The same at the busiest box in its busiest second.
    pub busiest: u64,
    /// Most origins at a box at once.
    pub records: u64,
}

impl Tally {
    /// Judges a day by the users' two rules.
    pub fn judge(&mut self) {
        let counted = self.went_on_while_served + self.refused_while_served;
        let share = self.went_on_while_served as f64 / counted.max(1) as f64;
        let half_of_new = self.begun as f64 / self.new.max(1) as f64 / 2.0;
        self.days = 1;
        self.days_mixed = u64::from(self.wrong > MIXED_ALLOWED);
        self.days_refused = u64::from(counted >= MIN_TAKEN_UP && share < half_of_new);
    }

    /// Adds another day.
    pub fn add(&mut self, other: &Tally) {
        self.messages = (self.messages * self.days as f64 + other.messages * other.days as f64)
            / (self.days + other.days).max(1) as f64;
        self.new += other.new;
        self.begun += other.begun;
        self.taken_up += other.taken_up;
        self.right += other.right;
        self.wrong += other.wrong;
        self.went_on_while_served += other.went_on_while_served;
        self.refused_while_served += other.refused_while_served;
        self.refused_otherwise += other.refused_otherwise;
        self.days += other.days;
        self.days_mixed += other.days_mixed;
        self.days_refused += other.days_refused;
        self.busiest = self.busiest.max(other.busiest);
        self.records = self.records.max(other.records);
    }
}

/// Messages and records by box and second.
pub struct Traffic {
    seconds: usize,
    messages: Vec<u32>,
    records: Vec<u32>,
    /// Batches of origins as tick, sender and receiver.
    batches: Vec<(u32, u16, u16)>,
}

impl Traffic {
    pub fn new(boxes: usize, seconds: f64) -> Traffic {
        let seconds = seconds as usize;
        let zeros = || vec![0; boxes * seconds];
        Traffic { seconds, messages: zeros(), records: zeros(), batches: Vec::new() }
    }

    /// A message that a box sends or receives.
    pub fn message(&mut self, member: usize, at: f64) {
        if let Some(slot) = self.slot(member, at) {
            self.messages[slot] += 1;
        }
    }

    /// An origin that a box remembers.
    pub fn record(&mut self, member: usize, at: f64) {
        if let Some(slot) = self.slot(member, at) {
            self.records[slot] += 1;
        }
    }

    /// An origin that goes with others of the same tick.
    pub fn batch(&mut self, tick: u32, from: usize, to: usize) {
        self.batches.push((tick, from as u16, to as u16));
    }

    /// Writes the costs of the day into a tally; a tick has `tick_s` seconds.
    pub fn count(mut self, tick_s: f64, tally: &mut Tally) {
        self.batches.sort_unstable();
        self.batches.dedup();
        for (tick, from, to) in std::mem::take(&mut self.batches) {
            let at = f64::from(tick) * tick_s;
            self.message(usize::from(from), at);
            self.message(usize::from(to), at);
        }
        let all: u64 = self.messages.iter().map(|count| u64::from(*count)).sum();
        tally.messages = all as f64 / self.messages.len() as f64;
        tally.busiest = self.messages.iter().copied().max().unwrap_or(0).into();
        let of_box = |records: &[u32]| records.iter().map(|count| u64::from(*count)).sum();
        tally.records = self.records.chunks(self.seconds).map(of_box).max().unwrap_or(0);
    }

    fn slot(&self, member: usize, at: f64) -> Option<usize> {
        let second = at as usize;
        (second < self.seconds).then_some(member * self.seconds + second)
    }
}
