//! A control process is a member of every group, under its own identity.

use opalrun_replication::MemberId;
use opalrun_wire::ids::NodeIdentity;

/// The member that a control process is.
pub(crate) fn member_id(identity: NodeIdentity) -> MemberId {
    MemberId(identity.0)
}

/// The control process that a member is.
pub(crate) fn node_identity(member: MemberId) -> NodeIdentity {
    NodeIdentity(member.0)
}
