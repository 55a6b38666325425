#ifndef HEMLOCKPOINT_HTTP_FWD_H_
#define HEMLOCKPOINT_HTTP_FWD_H_

namespace hemlockpoint {

struct HttpRequestHead;
struct HttpResponseHead;
class HttpExchange;
class HttpServer;
class HttpClientPool;
class HttpClientCall;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_HTTP_FWD_H_
