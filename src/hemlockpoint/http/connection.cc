#include "hemlockpoint/http/connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "hemlockpoint/http/beast_fields.h"
#include "hemlockpoint/http/body_buffer.h"
#include "hemlockpoint/runtime/await.h"

namespace hemlockpoint::internal {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr unsigned kHttp11 = 11;

}  // namespace

void HttpConnection::Close() {
  ErrorCode ignored;
  m_socket.close(ignored);
  m_is_closing = true;
  OnDisconnected();
}

bool HttpConnection::HasUnansweredRequest() const {
  if (m_is_disconnected || m_is_closing) {
    return pending_responses() > 0;
  }
  // Bytes of a head that is being read may be in neither the socket nor the
  // buffer: they are added to the buffer once the read has completed.
  ErrorCode ignored;
  return pending_responses() > 0 || m_head_deadline || m_buffer.size() > 0 ||
         m_socket.available(ignored) > 0;
}

bool HttpConnection::IsIdleLongerThan(Millis timeout) const {
  return timeout > Millis(0) && SteadyNow() - m_idle_since > timeout &&
         !HasUnansweredRequest();
}

void HttpConnection::OnDisconnected() {
  m_is_disconnected = true;
  auto callbacks = std::move(m_disconnect_callbacks);
  m_disconnect_callbacks.clear();
  for (const auto& [index, on_disconnect] : callbacks) {
    on_disconnect();
  }
  m_changed.Notify();
}

bool HttpConnection::AwaitTurn(RequestIndex index) {
  m_changed.Wait([&] { return m_is_closing || m_next_response == index; });
  return !m_is_closing;
}

bool HttpConnection::AwaitTurn(RequestIndex index, Millis until) {
  (void)m_changed.WaitUntil(
      until, [&] { return m_is_closing || m_next_response == index; });
  return !m_is_closing && m_next_response == index;
}

void HttpConnection::EndTurn(RequestIndex index, bool is_reusable) {
  m_disconnect_callbacks.erase(index);
  if (!is_reusable && !m_is_closing) {
    m_is_closing = true;
    // Only the sending side is shut down here; the server then reads what the
    // client still sends. Closing the socket with unread bytes would reset the
    // connection, and the client could lose the response.
    ErrorCode ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    // Ends the wait for the next request, so that the server's read loop ends
    // and the server discards what the client still sends.
    m_socket.cancel(ignored);
  }
  ++m_next_response;
  m_idle_since = SteadyNow();
  m_changed.Notify();
}

ServerExchange::ServerExchange(std::shared_ptr<HttpConnection> connection,
                               const HttpServerLimits& limits)
    : m_connection(std::move(connection)),
      m_body_silence_timeout(limits.m_body_silence_timeout) {
  m_parser.header_limit(limits.m_header_bytes);
  m_parser.body_limit(limits.m_body_bytes);
  auto& buffer = m_connection->m_buffer;
  buffer.max_size(std::max(
      {kReadBufferBytes, std::size_t{limits.m_header_bytes}, buffer.size()}));
}

ErrorCode ServerExchange::ReadRequestHead() {
  const IoResult read = AwaitIo([this](auto handler) {
    http::async_read_header(m_connection->m_socket, m_connection->m_buffer,
                            m_parser, std::move(handler));
  });
  if (read.m_error) {
    return read.m_error;
  }
  const auto& message = m_parser.get();
  m_head.m_method = std::string(message.method_string());
  m_head.m_path = std::string(message.target());
  m_head.m_headers = CopyEndToEndFields(message);
  if (const auto length = m_parser.content_length()) {
    m_head.m_content_length = *length;
  } else if (!message.chunked()) {
    m_head.m_content_length = 0;
  }
  m_keep_alive = message.keep_alive();
  m_accepts_chunks = message.version() >= kHttp11;
  m_expects_continue =
      beast::iequals(message[http::field::expect], "100-continue");
  return {};
}

void ServerExchange::AssignIndex() {
  m_request_index = m_connection->m_next_request++;
}

void ServerExchange::Finish() {
  m_has_handler_returned = true;
  if (!m_is_response_finished) {
    // Waits until the earlier responses are sent, then closes the connection.
    // If it is closing already, the result doesn't matter.
    (void)m_connection->AwaitTurn(m_request_index);
    // This request has ended, so Close() must not call its callback.
    m_connection->m_disconnect_callbacks.erase(m_request_index);
    m_connection->Close();
  }
  const bool is_reusable = m_is_response_finished && m_keep_alive &&
                           m_body_error == BodyError::kNone &&
                           m_parser.is_done();
  m_connection->EndTurn(m_request_index, is_reusable);
}

std::optional<std::string> ServerExchange::ReadBody(Millis until) {
  if (m_body_error != BodyError::kNone || !SendContinue(until)) {
    return std::nullopt;
  }
  m_body_part.clear();
  while (m_body_part.empty() && !m_parser.is_done()) {
    m_body_part.resize(BodyBufferSize(m_parser.content_length_remaining()));
    m_parser.get().body().data = m_body_part.data();
    m_parser.get().body().size = m_body_part.size();
    m_body_read = std::make_shared<PendingIo>();
    const auto read = AwaitIoUntil(
        Min(until, SteadyNow() + m_body_silence_timeout), shared_from_this(),
        [this](auto handler) {
          http::async_read_some(m_connection->m_socket, m_connection->m_buffer,
                                m_parser, std::move(handler));
        },
        m_body_read);
    if (!read) {
      return FailBody(BodyError::kTimedOut);
    }
    // need_buffer: the buffer is full, which is not a failure.
    if (read->m_error && read->m_error != http::error::need_buffer) {
      return FailBody(read->m_error == http::error::body_limit
                          ? BodyError::kTooLarge
                          : BodyError::kBroken);
    }
    m_body_part.resize(m_body_part.size() - m_parser.get().body().size);
  }
  if (m_parser.is_done()) {
    m_connection->m_changed.Notify();
  }
  return std::exchange(m_body_part, {});
}

std::nullopt_t ServerExchange::FailBody(BodyError error) {
  if (m_body_error == BodyError::kNone) {
    m_body_error = error;
  }
  // What follows isn't the head of a request.
  m_keep_alive = false;
  m_connection->m_changed.Notify();
  return std::nullopt;
}

void ServerExchange::StopReadingBody() {
  if (m_parser.is_done()) {
    return;
  }
  (void)FailBody(BodyError::kStopped);
  if (m_body_read) {
    m_body_read->Abandon();
  }
}

void ServerExchange::SetDisconnectCallback(std::function<void()> callback) {
  if (m_connection->m_is_disconnected) {
    callback();
    return;
  }
  m_connection->m_disconnect_callbacks[m_request_index] = std::move(callback);
}

bool ServerExchange::IsClientConnected() {
  if (!m_connection->m_is_disconnected) {
    char byte = 0;
    ErrorCode error;
    m_connection->m_socket.receive(asio::buffer(&byte, 1),
                                   asio::socket_base::message_peek, error);
    if (error && error != asio::error::would_block) {
      m_connection->OnDisconnected();
    }
  }
  return !m_connection->m_is_disconnected;
}

bool ServerExchange::Respond(const HttpResponseHead& head,
                             std::string_view body) {
  HttpResponseHead head_with_length = head;
  head_with_length.m_content_length = body.size();
  if (!PrepareResponse(head_with_length)) {
    return false;
  }
  SetBody(body, false);
  return WriteMessage();
}

bool ServerExchange::StartResponse(const HttpResponseHead& head) {
  if (!PrepareResponse(head)) {
    return false;
  }
  const IoResult written = AwaitIo([this](auto handler) {
    http::async_write_header(m_connection->m_socket, *m_serializer,
                             std::move(handler));
  });
  return !written.m_error;
}

bool ServerExchange::WriteBody(std::string_view bytes) {
  if (m_head.m_method == "HEAD") {
    return true;
  }
  SetBody(bytes, true);
  return WriteMessage();
}

bool ServerExchange::FinishResponse() {
  if (m_head.m_method == "HEAD") {
    m_is_response_finished = true;
  } else {
    SetBody({}, false);
    (void)WriteMessage();
  }
  if (m_is_response_finished) {
    SetResetsOnClose(false);
  }
  return m_is_response_finished;
}

void ServerExchange::Abort() {
  // If the connection is closing already, the result doesn't matter.
  (void)m_connection->AwaitTurn(m_request_index);
  m_connection->Close();
}

bool ServerExchange::SendContinue(Millis until) {
  if (!m_expects_continue) {
    return true;
  }
  m_expects_continue = false;
  if (!m_connection->AwaitTurn(m_request_index, until)) {
    (void)FailBody(m_connection->m_is_closing ? BodyError::kBroken
                                              : BodyError::kTimedOut);
    return false;
  }
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto written =
      AwaitIoUntil(until, shared_from_this(), [this](auto handler) {
        asio::async_write(m_connection->m_socket,
                          asio::buffer(kContinue.data(), kContinue.size()),
                          std::move(handler));
      });
  if (!written || written->m_error) {
    // A part may be written, which no response can follow.
    m_connection->Close();
    (void)FailBody(BodyError::kBroken);
    return false;
  }
  return true;
}

bool ServerExchange::PrepareResponse(const HttpResponseHead& head) {
  if (!m_connection->AwaitTurn(m_request_index)) {
    return false;
  }
  m_response_message.version(kHttp11);
  m_response_message.result(head.m_status);
  SetFields(m_response_message, head.m_headers, head.m_content_length);
  // The connection is not reused while part of the request body is unread,
  // since the unread bytes would be parsed as the next request. After
  // CloseAfterResponses(), it closes with the response to the last request that
  // was read. Earlier responses, which may still be in progress, must be sent
  // first.
  const bool is_last_request =
      m_connection->m_next_request == m_request_index + 1;
  const bool is_close_due =
      m_connection->m_close_after_response && is_last_request;
  const bool ends_with_connection = !head.m_content_length && !m_accepts_chunks;
  if (ends_with_connection) {
    m_response_message.chunked(false);
    SetResetsOnClose(true);
  }
  m_keep_alive = m_keep_alive && m_parser.is_done() && !is_close_due &&
                 !ends_with_connection;
  m_response_message.keep_alive(m_keep_alive);
  m_serializer.emplace(m_response_message);
  return true;
}

// An orderly close would complete a response that has neither a length nor
// chunks. The option also takes effect when the process ends meanwhile.
void ServerExchange::SetResetsOnClose(bool resets) {
  ErrorCode ignored;
  m_connection->m_socket.set_option(asio::socket_base::linger(resets, 0),
                                    ignored);
}

void ServerExchange::SetBody(std::string_view bytes, bool more) {
  auto& body = m_response_message.body();
  // Beast takes a non-const pointer but does not write through it here.
  body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
  body.size = bytes.size();
  body.more = more;
}

bool ServerExchange::WriteMessage() {
  const bool is_last_part = !m_response_message.body().more;
  const bool is_head_request = m_head.m_method == "HEAD";
  const IoResult written = AwaitIo([this, is_head_request](auto handler) {
    if (is_head_request) {
      http::async_write_header(m_connection->m_socket, *m_serializer,
                               std::move(handler));
    } else {
      http::async_write(m_connection->m_socket, *m_serializer,
                        std::move(handler));
    }
  });
  // need_buffer: the given bytes are written and more will follow, which is not
  // a failure.
  const bool is_written =
      !written.m_error || written.m_error == http::error::need_buffer;
  m_is_response_finished = is_written && is_last_part;
  return is_written;
}

}  // namespace hemlockpoint::internal
