//! Closed forms of queues, against which the emulator is held. It owns formulas and nothing else.

/// The chance that an arrival waits, in M/M/c with `load` = arrival rate x mean work (Erlang C).
pub fn erlang_c(cores: u32, load: f64) -> f64 {
    let c = f64::from(cores);
    // Erlang B by its recursion, which neither overflows nor loses figures.
    let b = (1..=cores).fold(1.0, |b, k| load * b / (f64::from(k) + load * b));
    let rho = load / c;
    b / (1.0 - rho * (1.0 - b))
}

/// Mean time in the system of M/M/c, in the unit of `work`.
pub fn mmc(cores: u32, rate: f64, work: f64) -> f64 {
    let load = rate * work;
    work + erlang_c(cores, load) * work / (f64::from(cores) - load)
}

/// Mean time in the system of M/G/1 by Pollaczek and Khinchine; `cv` 0 is M/D/1, 1 is M/M/1.
pub fn mg1(rate: f64, work: f64, cv: f64) -> f64 {
    let rho = rate * work;
    work + rho * work * (1.0 + cv * cv) / (2.0 * (1.0 - rho))
}
