#ifndef HEMLOCKPOINT_ROUTES_FWD_H_
#define HEMLOCKPOINT_ROUTES_FWD_H_

namespace hemlockpoint {

struct Route;
struct RouteDocument;
struct RouteTable;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTES_FWD_H_
