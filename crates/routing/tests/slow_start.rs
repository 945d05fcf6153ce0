//! Slow start at a gate under full load whose upstream starts cold, turns cold while it
//! serves, returns cold with all others of its data centre, or recovers and answers
//! slowly: several times what a cold upstream takes is offered all the time.

use ibiscove_routing::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Dequeued,
};
use ibiscove_routing::latency_estimate::LatencyEstimate;
use ibiscove_routing::slow_start::{
    Answer, Change, ColdAnnouncement, ColdLimit, SlowStart, WarmLatencies,
};
use ibiscove_types::UpstreamIncarnation;
use std::time::{Duration, Instant};
use yare::parameterized;

const TICK: Duration = Duration::from_millis(1);
const WARM_LATENCY: Duration = Duration::from_millis(60);
const SLOTS: usize = 6;
const LIMIT: ColdLimit = ColdLimit {
    rate: 14.0,
    max_per_second: 29.0,
};
const HEARTBEAT: Duration = Duration::from_millis(870);
const HEALTH_DELAY: Duration = Duration::from_millis(40);
const COLD: Duration = Duration::from_secs(3);

/// An upstream that turns cold, as its gate sees it.
struct Play {
    /// When it turns cold, after the start of the play.
    cold_at: Duration,
    /// How much slower it works while it is cold.
    slowness: f64,
    /// Rate at which requests arrive.
    offered: f64,
    /// Requests that arrive together.
    batch: f64,
    /// Delay of announcements.
    delay: Duration,
    limit: Option<ColdLimit>,
    seed: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            cold_at: Duration::from_secs(2),
            slowness: 2.0,
            offered: 120.0,
            batch: 1.0,
            delay: Duration::from_millis(30),
            limit: Some(LIMIT),
            seed: 1,
        }
    }
}

/// What happened in a play, in times since its start.
#[derive(Default)]
struct Played {
    starts: Vec<Duration>,
    ended: Option<Duration>,
    checks: usize,
}

impl Played {
    fn count(&self, from: Duration, until: Duration) -> usize {
        let is_within = |at: &&Duration| **at >= from && **at < until;
        self.starts.iter().filter(is_within).count()
    }

    /// Returns the most starts in any second between two times.
    fn most_in_a_second(&self, from: Duration, until: Duration) -> usize {
        let second = Duration::from_secs(1);
        let within = self.starts.iter().filter(|at| **at >= from && **at < until);
        within
            .map(|at| self.count(*at, (*at + second).min(until)))
            .max()
            .unwrap_or(0)
    }
}

struct Running {
    started: Instant,
    ends: Instant,
}

impl Play {
    fn cold_left(&self, at: Duration) -> Duration {
        match at < self.cold_at {
            true => Duration::ZERO,
            false => (self.cold_at + COLD).saturating_sub(at),
        }
    }

    fn latency(&self, at: Duration, rng: &mut fastrand::Rng) -> Duration {
        let slowness = match self.cold_left(at).is_zero() {
            true => 1.0,
            false => self.slowness,
        };
        WARM_LATENCY.mul_f64(slowness * (0.7 + 0.6 * rng.f64()))
    }

    fn run(&self, duration: Duration) -> Played {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let begin = Instant::now();
        let mut admission = AdmissionController::<()>::new(SLOTS);
        admission.slow_start().set_limit(self.limit);
        let mut played = Played::default();
        let mut running: Vec<Running> = Vec::new();
        // Announcements and health answers on their way: arrival and what they say.
        let mut news: Vec<(Duration, Duration)> = Vec::new();
        // Nothing is sent to an upstream that has not announced itself.
        admission
            .slow_start()
            .record_cold_until(begin + self.cold_left(Duration::ZERO), begin);
        let mut next_heartbeat = HEARTBEAT.mul_f64(rng.f64());
        let mut at = Duration::ZERO;
        while at < duration {
            let now = begin + at;
            if at >= next_heartbeat {
                news.push((at + self.delay, self.cold_left(at)));
                next_heartbeat += HEARTBEAT;
            }
            news.retain(|(arrives, cold)| {
                if *arrives <= at {
                    admission.slow_start().record_cold_until(now + *cold, now);
                }
                *arrives > at
            });
            let mut started = Vec::new();
            for ended in running.extract_if(.., |request| request.ends <= now) {
                let latency = now.duration_since(ended.started);
                let answer = Answer::Answered(latency.div_duration_f64(WARM_LATENCY));
                let full_rate = admission.full_rate();
                let change = admission.slow_start().record_answer(answer, full_rate, now);
                if change == Some(Change::Ended) {
                    played.ended = Some(at);
                }
                if admission.slow_start().take_check(now) {
                    played.checks += 1;
                    news.push((at + HEALTH_DELAY, self.cold_left(at + HEALTH_DELAY / 2)));
                }
                started.extend(admission.finish(WARM_LATENCY, now));
            }
            if admission.pacing_delay(now) == Some(Duration::ZERO) {
                started.extend(admission.dequeue(now));
            }
            let mut starts = started
                .iter()
                .filter(|request| matches!(request, Dequeued::Run(())))
                .count();
            if rng.f64() < self.offered / self.batch * TICK.as_secs_f64() {
                for _ in 0..self.batch as usize {
                    let decision = admission.offer(request(now), || (), now);
                    starts += usize::from(decision == AdmissionDecision::Run);
                }
            }
            for _ in 0..starts {
                played.starts.push(at);
                let ends = now + self.latency(at, &mut rng);
                running.push(Running { started: now, ends });
            }
            at += TICK;
        }
        played
    }
}

fn request(now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        priority: 1,
        target: now + Duration::from_millis(500),
        deadline: now + Duration::from_millis(1_200),
        estimate: WARM_LATENCY,
        upper_estimate: WARM_LATENCY,
        may_miss_target: true,
    }
}

/// Guards against a cold upstream that is flooded, whenever it turns cold and however
/// requests arrive, and against one that is left idle.
#[parameterized(
    one_by_one = { 1.0, 120.0, 2.0 },
    in_bursts = { 40.0, 120.0, 2.0 },
    a_little_slower = { 1.0, 300.0, 1.6 },
    much_slower = { 10.0, 200.0, 5.0 },
)]
fn upstream_that_turns_cold_under_full_load_gets_what_it_takes(
    batch: f64,
    offered: f64,
    slowness: f64,
) {
    for seed in 0..60 {
        let play = Play {
            cold_at: Duration::from_millis(1_500 + 17 * seed),
            batch,
            offered,
            slowness,
            seed,
            ..Play::default()
        };
        let played = play.run(play.cold_at + COLD + Duration::from_secs(2));
        let end = play.cold_at + COLD;
        let most = played.most_in_a_second(play.cold_at, end);
        assert!(most <= 29, "{most} in a second, seed {seed}");
    }
}

/// Shows that the load of the test above floods an upstream without a slow start.
#[test]
fn the_same_load_floods_an_upstream_without_a_limit() {
    let play = Play {
        limit: None,
        ..Play::default()
    };
    let played = play.run(Duration::from_secs(6));
    assert!(played.most_in_a_second(play.cold_at, play.cold_at + COLD) > 29);
}

/// Guards against an upstream that starts cold, alone or with all of its data centre,
/// and is left idle: nearly all of its rate is used, and the full rate soon after.
#[test]
fn upstream_that_starts_cold_uses_its_rate_and_returns_soon_to_full_load() {
    for seed in 0..60 {
        let play = Play {
            cold_at: Duration::ZERO,
            seed,
            ..Play::default()
        };
        let played = play.run(COLD + Duration::from_secs(3));
        assert!(played.most_in_a_second(Duration::ZERO, COLD) <= 29);
        let from = Duration::from_secs(1);
        let used = played.count(from, COLD) as f64;
        let allowed = LIMIT.rate * (COLD - from).as_secs_f64();
        assert!(used >= 0.9 * allowed, "{used} of {allowed}, seed {seed}");
        let ended = played.ended.expect("the slow start ends");
        assert!(ended <= COLD + Duration::from_millis(700), "{ended:?}");
        let full = played.count(COLD + Duration::from_secs(1), COLD + Duration::from_secs(3));
        assert!(full as f64 >= 0.85 * 2.0 * 100.0, "{full}, seed {seed}");
    }
}

/// Guards against a step from the rate of a cold upstream to its full one.
#[test]
fn the_rate_at_most_doubles_from_one_round_to_the_next() {
    let begin = Instant::now();
    let mut slow_start = SlowStart::default();
    slow_start.set_limit(Some(LIMIT));
    let change = slow_start.record_cold_until(begin + COLD, begin);
    assert_eq!(change, Some(Change::Begun));
    let warm = begin + COLD;
    let mut rates = vec![slow_start.rate().expect("it is limited")];
    let mut answers = 0;
    while slow_start
        .record_answer(Answer::Answered(1.0), 200.0, warm)
        .is_none()
    {
        answers += 1;
        let rate = slow_start.rate().expect("it is limited");
        if rates.last() != Some(&rate) {
            rates.push(rate);
        }
    }
    assert_eq!(rates, [14.0, 28.0, 56.0, 112.0]);
    assert!(answers >= 2 + 3 + 6 + 12 - 2, "{answers}");
    assert_eq!(slow_start.rate(), None);
}

/// Guards against a pace that ignores how a recovered upstream answers.
#[test]
fn slow_answers_grow_the_rate_slowly_and_refusals_and_losses_halve_it() {
    let begin = Instant::now();
    let after = |ms| begin + Duration::from_millis(ms);
    let mut slow_start = SlowStart::default();
    slow_start.set_limit(Some(LIMIT));
    assert_eq!(slow_start.record_recovery(begin), Some(Change::Begun));
    for _ in 0..100 {
        slow_start.record_answer(Answer::Failed, 100.0, after(10));
    }
    for _ in 0..7 {
        slow_start.record_answer(Answer::Answered(3.0), 100.0, after(10));
        assert_eq!(slow_start.rate(), Some(14.0));
    }
    slow_start.record_answer(Answer::Answered(3.0), 100.0, after(10));
    assert_eq!(
        slow_start.rate(),
        Some(28.0),
        "eight slow ones are two good ones"
    );
    slow_start.record_answer(Answer::Refused, 100.0, after(20));
    slow_start.record_answer(Answer::Refused, 100.0, after(30));
    assert_eq!(slow_start.rate(), Some(14.0), "those were sent together");
    for n in 0..20 {
        slow_start.record_answer(Answer::Lost, 100.0, after(1_000 * (n + 1)));
    }
    let least = slow_start.rate().expect("it is limited");
    assert!((1.0..2.0).contains(&least), "{least}");
    for _ in 0..100 {
        slow_start.record_answer(Answer::Answered(1.0), 100.0, after(30_000));
    }
    assert_eq!(slow_start.rate(), None);
}

/// Guards against an upstream whose cold time is forgotten when a late announcement or
/// a successor says otherwise, and against starts before it that do not count.
#[test]
fn starts_before_the_upstream_turned_cold_count() {
    let begin = Instant::now();
    let mut slow_start = SlowStart::default();
    slow_start.set_limit(Some(LIMIT));
    for n in 0..50 {
        slow_start.record_start(begin + Duration::from_millis(10 * n));
    }
    let now = begin + Duration::from_millis(500);
    slow_start.record_cold_until(now + COLD, now);
    let delay = slow_start.delay(now).expect("it is limited");
    assert!(delay >= Duration::from_millis(700), "{delay:?}");
    slow_start.record_cold_until(now, now);
    slow_start.record_cold_until(now + COLD / 2, now);
    assert_eq!(slow_start.delay(now), Some(delay));
}

/// Guards against health checks of upstreams that answer in their usual time, and
/// against too many of those that do not.
#[test]
fn only_unusual_answers_call_for_health_checks() {
    let calm = Play {
        cold_at: Duration::from_secs(100),
        ..Play::default()
    };
    assert_eq!(calm.run(Duration::from_secs(10)).checks, 0);
    let begin = Instant::now();
    let mut slow_start = SlowStart::default();
    slow_start.set_limit(Some(LIMIT));
    let mut checks = 0;
    for n in 0..1_000 {
        let now = begin + Duration::from_millis(n);
        slow_start.record_start(now);
        slow_start.record_answer(Answer::Answered(3.0), 100.0, now);
        checks += usize::from(slow_start.take_check(now));
    }
    assert!((2..=4).contains(&checks), "{checks}");
}

/// Guards against services without a limit for cold upstreams that are served
/// differently than before.
#[test]
fn without_a_limit_nothing_is_slowed_or_checked() {
    let now = Instant::now();
    let mut slow_start = SlowStart::default();
    assert_eq!(slow_start.record_cold_until(now + COLD, now), None);
    assert_eq!(slow_start.record_recovery(now), None);
    for _ in 0..100 {
        slow_start.record_start(now);
        slow_start.record_answer(Answer::Lost, 100.0, now);
    }
    assert!(!slow_start.take_check(now));
    assert_eq!((slow_start.delay(now), slow_start.rate()), (None, None));
}

fn limited() -> SlowStart {
    let mut slow_start = SlowStart::default();
    slow_start.set_limit(Some(LIMIT));
    slow_start
}

/// Records the announcement of the upstream that was born at a time.
fn announce(
    slow_start: &mut SlowStart,
    (born_ms, sequence): (i64, u64),
    cold_left: Duration,
    now: Instant,
) {
    let incarnation = UpstreamIncarnation {
        id: "upstream".into(),
        born_ms,
    };
    let announcement = ColdAnnouncement {
        incarnation: &incarnation,
        sequence,
        cold_left,
        received_at: now,
    };
    slow_start.record_announcement(announcement, now);
}

/// Guards against a request that waited since before a cold successor announced itself,
/// and brings its predecessor's announcement back.
#[parameterized(
    of_the_predecessor = { (1, 9) },
    of_an_earlier_time = { (2, 4) },
    the_same_again = { (2, 5) },
)]
fn announcements_that_are_not_newer_say_nothing(stale: (i64, u64)) {
    let begin = Instant::now();
    let mut slow_start = limited();
    announce(&mut slow_start, (1, 9), Duration::ZERO, begin);
    announce(&mut slow_start, (2, 5), COLD, begin);
    announce(&mut slow_start, stale, Duration::ZERO, begin);
    let end = begin + COLD;
    assert!(!slow_start.was_warm(end - TICK));
    assert!(slow_start.was_warm(end));
}

/// Guards against an upstream that is held back after it has said that it is warm, and
/// against one that is flooded because this was on its way when it turned cold.
#[test]
fn a_newer_announcement_replaces_a_health_answer() {
    let begin = Instant::now();
    let after = |ms| begin + Duration::from_millis(ms);
    let mut slow_start = limited();
    announce(&mut slow_start, (1, 1), Duration::ZERO, begin);
    slow_start.record_cold_until(after(60_000), begin);
    announce(&mut slow_start, (1, 2), Duration::ZERO, after(200));
    assert!(!slow_start.was_warm(after(59_999)));
    announce(
        &mut slow_start,
        (1, 3),
        Duration::from_secs(1),
        after(1_070),
    );
    assert!(!slow_start.was_warm(after(2_069)));
    assert!(slow_start.was_warm(after(2_070)));
    announce(&mut slow_start, (1, 4), Duration::ZERO, after(1_500));
    assert!(slow_start.was_warm(after(1_500)));
}

/// Guards against an upstream that pays for the crash of its predecessor.
#[test]
fn a_successor_gets_at_least_the_announced_rate() {
    let begin = Instant::now();
    let mut slow_start = limited();
    announce(&mut slow_start, (1, 1), COLD, begin);
    for n in 0..10 {
        slow_start.record_answer(Answer::Lost, 100.0, begin + Duration::from_secs(n));
    }
    assert!(slow_start.rate() < Some(2.0));
    let later = begin + Duration::from_secs(10);
    announce(&mut slow_start, (2, 1), Duration::ZERO, later);
    assert_eq!(slow_start.rate(), Some(LIMIT.rate));
}

/// Guards against an upstream that turns cold again, or hangs, and is flooded until its
/// next announcement.
#[parameterized(
    slow_while_it_grows = { true, Some(Answer::Answered(3.0)) },
    failing_while_it_grows = { true, Some(Answer::Failed) },
    failing = { false, Some(Answer::Failed) },
    lost = { false, Some(Answer::Lost) },
    abandoned = { false, None },
    abandoned_while_it_grows = { true, None },
)]
fn signs_that_an_upstream_is_cold_call_for_a_health_check(
    is_growing: bool,
    answer: Option<Answer>,
) {
    let begin = Instant::now();
    let mut slow_start = limited();
    if is_growing {
        slow_start.record_recovery(begin);
    }
    let rate = slow_start.rate();
    for _ in 0..8 {
        slow_start.record_start(begin);
    }
    assert!(!slow_start.take_check(begin));
    for _ in 0..4 {
        match answer {
            Some(answer) => drop(slow_start.record_answer(answer, 1_000.0, begin)),
            None => slow_start.record_abandoned(begin),
        }
    }
    assert!(slow_start.take_check(begin));
    assert_eq!(slow_start.rate(), rate, "none of these holds it back");
    slow_start.record_cold_until(begin + COLD, begin);
    let later = begin + COLD / 2;
    for _ in 0..20 {
        slow_start.record_start(later);
        slow_start.record_answer(Answer::Failed, 1_000.0, later);
    }
    assert!(!slow_start.take_check(later), "it is known to be cold");
}

/// Guards against an upstream that stays idle after it has become warm because its last
/// second as a cold one was full.
#[test]
fn the_wait_for_a_full_second_ends_with_the_cold_time() {
    let begin = Instant::now();
    let mut slow_start = limited();
    for _ in 0..50 {
        slow_start.record_start(begin);
    }
    let now = begin + Duration::from_millis(300);
    slow_start.record_cold_until(now + TICK, now);
    assert_eq!(slow_start.delay(now), Some(TICK));
}

/// Guards against a rate above the bound that the settings set.
#[test]
fn a_bound_below_the_rate_holds() {
    let begin = Instant::now();
    let mut slow_start = SlowStart::default();
    slow_start.set_limit(Some(ColdLimit {
        rate: 14.0,
        max_per_second: 7.0,
    }));
    slow_start.record_cold_until(begin + COLD, begin);
    assert_eq!(slow_start.rate(), Some(7.0));
    let starts = (0..1_000).filter(|ms| {
        let now = begin + TICK * *ms;
        let may_start = slow_start.delay(now) == Some(Duration::ZERO);
        if may_start {
            slow_start.record_start(now);
        }
        may_start
    });
    assert!((1..=7).contains(&starts.count()));
}

/// Guards against callers who come again before the upstream may get another request.
#[test]
fn refusals_name_the_time_until_the_next_start() {
    let begin = Instant::now();
    let mut admission = AdmissionController::<()>::new(SLOTS);
    for _ in 0..40 {
        admission.slow_start().set_limit(Some(LIMIT));
        admission.slow_start().record_start(begin);
    }
    assert_eq!(admission.retry_after(begin), admission.drain_time());
    admission
        .slow_start()
        .record_cold_until(begin + COLD, begin);
    let hasty = AdmissionRequest {
        deadline: begin + Duration::from_millis(100),
        ..request(begin)
    };
    let decision = admission.offer(hasty, || (), begin);
    let retry_after = Duration::from_secs(1);
    assert_eq!(decision, AdmissionDecision::Refuse { retry_after });
}

/// Guards against an upstream that turns cold again and is taken for one that answers as
/// usual, because its first cold time has made slow answers the usual ones.
#[test]
fn answers_of_a_cold_upstream_do_not_become_the_usual_ones() {
    let initial = LatencyEstimate::with_initial(WARM_LATENCY);
    let route = "files".into();
    let mut latencies = WarmLatencies::default();
    for _ in 0..100 {
        let relative = latencies.record(&route, initial, WARM_LATENCY * 2, false);
        assert!((relative - 2.0).abs() < 1e-6, "{relative}");
    }
    for _ in 0..100 {
        latencies.record(&route, initial, WARM_LATENCY / 2, true);
    }
    let relative = latencies.record(&route, initial, WARM_LATENCY, false);
    assert!((relative - 2.0).abs() < 0.01, "{relative}");
}
