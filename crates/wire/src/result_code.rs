//! Numbered result codes, used in logs, responses and exit statuses. `docs/results.md` lists them.

use std::fmt;

/// The result of an operation, as a number that does not change between versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResultCode(pub u16);

impl ResultCode {
    /// The operation succeeded.
    pub const OK: Self = Self(0);
    /// A frame was longer than its receiver accepts.
    pub const FRAME_TOO_LONG: Self = Self(101);
    /// A frame's checksum did not match its body.
    pub const FRAME_CORRUPT: Self = Self(102);
    /// A frame's body could not be decoded as the expected message.
    pub const FRAME_UNREADABLE: Self = Self(103);
    /// The peer uses another version of the protocol.
    pub const PROTOCOL_VERSION: Self = Self(104);
    /// The settings file is missing, unreadable or invalid.
    pub const SETTINGS_INVALID: Self = Self(201);
    /// The operator's configuration is invalid.
    pub const CONFIGURATION_INVALID: Self = Self(301);
    /// The current configuration is not the one that the change was based on.
    pub const CONFIGURATION_CONFLICT: Self = Self(302);
    /// A configuration could not be parsed: truncated, followed by more bytes, or with a field of the wrong type.
    pub const CONFIGURATION_UNREADABLE: Self = Self(310);
    /// A route refers to a service that the configuration does not contain, or to none at all.
    pub const CONFIGURATION_UNKNOWN_SERVICE: Self = Self(311);
    /// Two routes have the same host and prefix, or two services the same name.
    pub const CONFIGURATION_DUPLICATE: Self = Self(312);
    /// The weights of a route sum to 0, or one of them is negative or too large.
    pub const CONFIGURATION_WEIGHTS: Self = Self(313);
    /// A time-out is 0.
    pub const CONFIGURATION_TIMEOUT: Self = Self(314);
    /// A name is empty.
    pub const CONFIGURATION_EMPTY_NAME: Self = Self(315);
    /// A prefix does not begin and end with a slash.
    pub const CONFIGURATION_PREFIX: Self = Self(316);
    /// A number is negative or too large.
    pub const CONFIGURATION_NUMBER: Self = Self(317);
    /// No configuration has been set yet.
    pub const NO_CONFIGURATION: Self = Self(303);
    /// A call from a worker can't be parsed.
    pub const INSTANCE_INVALID: Self = Self(304);
    /// This process does not own the shard; another process does.
    pub const NOT_OWNER: Self = Self(401);
    /// No majority of the replica group can be reached.
    pub const NO_QUORUM: Self = Self(402);
    /// The named machine is unknown.
    pub const UNKNOWN_NODE: Self = Self(403);
    /// Too few store machines would remain.
    pub const TOO_FEW_STORES: Self = Self(404);
    /// No control process gave a conclusive response.
    pub const CONTROL_UNREACHABLE: Self = Self(405);
    /// An operator's command was not completed before its deadline.
    pub const ORDER_UNFINISHED: Self = Self(406);
    /// An operator's command was rejected for a reason without a separate code.
    pub const ORDER_REFUSED: Self = Self(407);
    /// A message carries an older epoch of the store map than the receiver's.
    pub const STALE_EPOCH: Self = Self(501);
    /// A replica is still catching up and can't serve reads.
    pub const REPLICA_INCOMPLETE: Self = Self(502);
    /// The remaining budget of a program does not suffice for another turn.
    pub const BUDGET_SPENT: Self = Self(503);
    /// No quorum of stores replied in time.
    pub const STORES_UNAVAILABLE: Self = Self(504);
    /// The operation was replaced by a later one.
    pub const SUPERSEDED: Self = Self(505);
    /// The `Budget` or `Token-Usage` header of a turn is missing or out of range.
    pub const TURN_TERMS_INVALID: Self = Self(510);
    /// The turn referred to by the `Previous` header does not exist.
    pub const UNKNOWN_TURN: Self = Self(511);
    /// The chain of a turn could not be read completely in time.
    pub const CHAIN_UNAVAILABLE: Self = Self(512);
    /// No memory is left for the earlier turns of a conversation.
    pub const CHAIN_NO_MEMORY: Self = Self(513);
    /// The disk is full.
    pub const DISK_FULL: Self = Self(601);
    /// A file on disk is damaged in a way that an interrupted write can't explain.
    pub const DISK_CORRUPT: Self = Self(602);
    /// A file on disk was written by a newer version of the program.
    pub const DISK_NEWER: Self = Self(603);
    /// A disk operation failed for another reason.
    pub const DISK_FAILED: Self = Self(604);
    /// A directory contains no state of the requested role.
    pub const STATE_MISSING: Self = Self(605);
    /// The files on disk are undamaged but contradict each other.
    pub const STATE_INCONSISTENT: Self = Self(606);
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:03}", self.0)
    }
}
