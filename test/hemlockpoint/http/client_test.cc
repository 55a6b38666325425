#include "hemlockpoint/http/client.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "hemlockpoint/runtime/fiber_loop.h"

namespace hemlockpoint {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Guards against a crash when a target is replaced, and its pool with it, while
// a call opens a connection.
TEST(HttpClient, APoolMayBeDestroyedWhileItConnects) {
  FiberLoop loop;
  tcp::acceptor acceptor(loop.io(), {asio::ip::make_address("127.0.89.3"), 0});
  const Endpoint server{"127.0.89.3", acceptor.local_endpoint().port()};
  auto pool = std::make_unique<HttpClientPool>(loop.io(), server, 1);
  bool is_open = false;
  loop.Spawn([&] {
    const auto call = pool->Open(Millis(1000));
    is_open = static_cast<bool>(call);
    loop.Stop();
  });
  // Runs while the first fiber waits.
  loop.Spawn([&] { pool.reset(); });
  loop.Run();
  EXPECT_TRUE(is_open);
}

}  // namespace
}  // namespace hemlockpoint
