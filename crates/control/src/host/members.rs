//! Conversion between identities of control processes and ids of group members: both have the same number, in every
//! group.

use opalrun_replication::MemberId;
use opalrun_wire::ids::NodeIdentity;

/// Returns the member id of a control process.
pub(crate) fn member_id(identity: NodeIdentity) -> MemberId {
    MemberId(identity.0)
}

/// Returns the identity of the control process with a member id.
pub(crate) fn node_identity(member: MemberId) -> NodeIdentity {
    NodeIdentity(member.0)
}
