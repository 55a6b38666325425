#ifndef HEMLOCKPOINT_NODE_FWD_H_
#define HEMLOCKPOINT_NODE_FWD_H_

namespace hemlockpoint {

struct NodeContext;
class EntryService;
class TargetDispatcher;
class MembershipClient;
class AdminService;
class Node;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_FWD_H_
