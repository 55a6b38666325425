#ifndef HEMLOCKPOINT_TEST_SUPPORT_FREE_ENDPOINT_H_
#define HEMLOCKPOINT_TEST_SUPPORT_FREE_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "hemlockpoint/base/endpoint.h"

namespace hemlockpoint {

/// @return A local endpoint with a port that is free.
inline Endpoint FreeEndpoint(const std::string& address) {
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::make_address(address), 0});
  return {address, acceptor.local_endpoint().port()};
}

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TEST_SUPPORT_FREE_ENDPOINT_H_
