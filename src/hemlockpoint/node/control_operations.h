#ifndef HEMLOCKPOINT_NODE_CONTROL_OPERATIONS_H_
#define HEMLOCKPOINT_NODE_CONTROL_OPERATIONS_H_

#include "hemlockpoint/control/control_service.h"
#include "hemlockpoint/node/admin_service.h"

namespace hemlockpoint {

/// @brief Registers the operations that a control host offers to operators:
/// the policy document, the members, the control group and the quarantine. See
/// docs/interfaces.md.
void AddControlOperations(AdminService& admin, ControlService& control);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_CONTROL_OPERATIONS_H_
