//! Semantic validation of settings, after parsing.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use model::Millis;

use super::Settings;

/// Number of beacon intervals that a relay's lease must exceed, so that one lost renewal does not
/// end it.
const BEACONS_PER_LEASE: u64 = 3;

/// One problem that makes settings invalid.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingsProblem {
    /// Key with its section, such as `fleet.lease`.
    pub key: String,
    /// Description of the problem and its remedy.
    pub message: String,
}

impl SettingsProblem {
    pub(crate) fn new(key: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`: {}", self.key, self.message)
    }
}

/// Returns every problem of `settings`; the list is empty if they are valid.
pub(crate) fn check(settings: &Settings) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    check_listen(settings, &mut problems);
    check_fleet(settings, &mut problems);
    check_upstream(settings, &mut problems);
    check_operators(settings, &mut problems);
    problems
}

fn check_listen(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    let listen = &settings.listen;
    let addresses = [
        ("caller", listen.caller),
        ("gate", listen.gate),
        ("fleet", listen.fleet),
        ("admin", listen.admin),
        ("announce", listen.announce),
    ];
    for (i, (key, address)) in addresses.iter().enumerate() {
        let earlier = addresses[..i]
            .iter()
            .find(|(_, other)| overlap(other, address));
        if let Some((other, _)) = earlier {
            problems.push(SettingsProblem::new(
                format!("listen.{key}"),
                format!("{address} is also the address of `listen.{other}`; choose another port"),
            ));
        }
    }
    // Other daemons connect to these two at the addresses in this daemon's membership record.
    let advertised = [
        ("gate", listen.advertise_gate.unwrap_or(listen.gate)),
        ("fleet", listen.advertise_fleet.unwrap_or(listen.fleet)),
    ];
    for (key, address) in advertised {
        if address.ip().is_unspecified() {
            problems.push(SettingsProblem::new(
                format!("listen.{key}"),
                format!(
                    "other daemons cannot connect to {address}; write the VM's own IP address, or \
                     give it as `listen.advertise_{key}`"
                ),
            ));
        }
    }
}

/// Returns whether two listeners cannot be bound to these addresses at the same time.
fn overlap(one: &SocketAddr, other: &SocketAddr) -> bool {
    let same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_ip
}

fn check_fleet(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    let fleet = &settings.fleet;
    let mut report = |key: &str, message: String| problems.push(SettingsProblem::new(key, message));
    if fleet.key.expose().is_empty() {
        report(
            "fleet.key",
            "the fleet's key is missing or empty; write it here, or name a file with \
             `fleet.key_file`"
                .into(),
        );
    }
    let printable = |byte: u8| byte.is_ascii_graphic();
    if !fleet.key.expose().bytes().all(printable) {
        report(
            "fleet.key",
            "the fleet's key has a character that a header cannot carry; use ASCII letters, \
             digits and signs without spaces"
                .into(),
        );
    }
    if fleet.fanout == 0 {
        report(
            "fleet.fanout",
            "0 allows no daemon to follow this one; write at least 1".into(),
        );
    }
    if fleet.relays == 0 {
        report(
            "fleet.relays",
            "0 relays leave no daemon that follows the store; write at least 1".into(),
        );
    }
    for (key, time) in [
        ("fleet.beacon", fleet.beacon),
        ("fleet.grace", fleet.grace),
        ("fleet.compare", fleet.compare),
    ] {
        if time.get() == 0 {
            report(key, "the time must not be 0ms; write at least 1ms".into());
        }
    }
    if fleet.silence <= fleet.beacon {
        report(
            "fleet.silence",
            format!(
                "{} closes every link, since beacons are sent every {}; write more than \
                 `fleet.beacon`",
                fleet.silence, fleet.beacon
            ),
        );
    }
    let shortest = Millis::new(fleet.beacon.get().saturating_mul(BEACONS_PER_LEASE));
    if fleet.lease <= shortest {
        report(
            "fleet.lease",
            format!(
                "a lease of {} is lost on one late renewal; write more than {shortest}, which is \
                 {BEACONS_PER_LEASE} times `fleet.beacon`",
                fleet.lease
            ),
        );
    }
}

fn check_upstream(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    if settings.upstream.silence.get() == 0 {
        problems.push(SettingsProblem::new(
            "upstream.silence",
            "0ms would expire every announcement at once; write more than the time between \
             announcements",
        ));
    }
}

fn check_operators(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    let empty = admin::TokenHash::of("");
    let mut names = BTreeSet::new();
    for (i, operator) in settings.operators.iter().enumerate() {
        let mut report = |field: &str, message: String| {
            let key = format!("operators[{i}].{field}");
            problems.push(SettingsProblem::new(key, message));
        };
        if !names.insert(operator.name.clone()) {
            report(
                "name",
                format!(
                    "operator `{}` is listed twice; merge the two",
                    operator.name
                ),
            );
        }
        if operator.teams.is_empty() {
            report(
                "teams",
                "an operator without a team may change nothing; name at least one team".into(),
            );
        }
        if operator.token_hash == empty {
            report(
                "token_hash",
                "this is the hash of an empty token; choose a token and run `sardinestall token`"
                    .into(),
            );
        }
        let earlier = &settings.operators[..i];
        if earlier
            .iter()
            .any(|other| other.token_hash == operator.token_hash)
        {
            report(
                "token_hash",
                "another operator has this token, so the audit trail cannot tell them apart; \
                 give each a token of its own"
                    .into(),
            );
        }
    }
}
