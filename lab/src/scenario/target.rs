//! Selection of the gateways, workers and links that a fault affects.

/// Reason why a selection can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// No zone has this name.
    #[error("{0:?} is not a zone of this scenario")]
    UnknownZone(String),
    /// The text before `%` is no number from 0 to 100.
    #[error("{0:?} is not a percentage from 0% to 100%")]
    InvalidShare(String),
    /// Neither a number nor a range.
    #[error("{0:?} is not a selection: expected all, a number, a range, a percentage or zone=NAME")]
    InvalidSelection(String),
    /// Unknown far end of a link.
    #[error("{0:?} is not a far end of a link")]
    UnknownPeers(String),
}

/// A selection of gateways or workers.
#[derive(Debug, Clone, PartialEq)]
pub enum Selection {
    /// All of them.
    All,
    /// A share of them, drawn at random.
    Share(f64),
    /// Indices from the first up to, but not including, the second.
    Range(usize, usize),
    /// Those in the zone with this index.
    Zone(usize),
}

impl Selection {
    /// Parses `all`, `30%`, `2`, `0..3` or `zone=NAME`.
    ///
    /// # Errors
    /// The text has none of these forms, or names an unknown zone.
    pub fn parse(text: &str, zones: &[String]) -> Result<Self, TargetError> {
        if text == "all" {
            return Ok(Self::All);
        }
        if let Some(name) = text.strip_prefix("zone=") {
            let at = zones.iter().position(|z| z == name);
            return at.map(Self::Zone).ok_or_else(|| TargetError::UnknownZone(name.to_owned()));
        }
        if let Some(share) = text.strip_suffix('%') {
            let percent = share.parse().ok().filter(|percent: &f64| (0.0..=100.0).contains(percent));
            let share = percent.map(|percent| Self::Share(percent / 100.0));
            return share.ok_or_else(|| TargetError::InvalidShare(text.to_owned()));
        }
        let number = |t: &str| t.parse::<usize>().map_err(|_| TargetError::InvalidSelection(text.to_owned()));
        match text.split_once("..") {
            Some((from, to)) => Ok(Self::Range(number(from)?, number(to)?)),
            None => number(text).map(|n| Self::Range(n, n + 1)),
        }
    }

    /// Returns the selected indices in ascending order, given the zone of each gateway or worker. A share is drawn by
    /// `draw`, which returns a random number below its argument.
    pub fn of(&self, zones: &[usize], mut draw: impl FnMut(usize) -> usize) -> Vec<usize> {
        let mut every: Vec<usize> = (0..zones.len()).collect();
        match self {
            Self::All => every,
            Self::Zone(zone) => every.into_iter().filter(|i| zones[*i] == *zone).collect(),
            Self::Range(from, to) => every.into_iter().filter(|i| (from..to).contains(&i)).collect(),
            Self::Share(share) => {
                let n = (zones.len() as f64 * share).round() as usize;
                for i in 0..n {
                    let j = i + draw(every.len() - i);
                    every.swap(i, j);
                }
                every.truncate(n);
                every.sort_unstable();
                every
            }
        }
    }
}

/// The far ends of the links that a fault affects.
#[derive(Debug, Clone, PartialEq)]
pub enum Peers {
    /// All but other gateways.
    All,
    /// The selected workers.
    Workers(Selection),
    /// The shared counter.
    Counter,
    /// The discovery agent.
    Discovery,
    /// The load balancer that forwards the clients' requests.
    Front,
    /// The selected other gateways.
    Gates(Selection),
}

impl Peers {
    /// Parses the text of `Fault::peers`.
    ///
    /// # Errors
    /// The text names no known far end, or its selection can't be parsed.
    pub fn parse(text: &str, zones: &[String]) -> Result<Self, TargetError> {
        Ok(match text {
            "all" => Self::All,
            "workers" => Self::Workers(Selection::All),
            "counter" => Self::Counter,
            "discovery" => Self::Discovery,
            "front" => Self::Front,
            "gates" => Self::Gates(Selection::All),
            _ => match text.split_once(':') {
                Some(("workers", pick)) => Self::Workers(Selection::parse(pick, zones)?),
                Some(("gates", pick)) => Self::Gates(Selection::parse(pick, zones)?),
                _ => return Err(TargetError::UnknownPeers(text.to_owned())),
            },
        })
    }
}
