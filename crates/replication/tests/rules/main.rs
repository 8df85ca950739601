//! Unit tests of single protocol rules on one replica, with scripted messages.

mod append_entries;
mod commit;
mod contact;
mod election;
mod install_snapshot;
mod membership_change;
mod messages;
mod read_index;
mod support;
mod up_to_date;
