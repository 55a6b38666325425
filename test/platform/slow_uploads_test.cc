// Uploads that clients send slowly, or not to their end.

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "platform/each_way.h"

namespace hemlockpoint::platform {
namespace {

constexpr int kDeadlineMs = 300;
// For the client's thread and the node's, beside other tests.
constexpr std::chrono::milliseconds kSlack(2000);
constexpr std::chrono::milliseconds kGiveUp(8000);
constexpr std::chrono::milliseconds kSendPeriod(20);
constexpr std::size_t kStatedBytes = std::size_t{512} * 1024;
const std::string kPart(std::size_t{8} * 1024, 'b');

struct Upload {
  // Sent at once.
  std::string m_begin;
  // Sent in each period, up to the end of the connection; may be empty.
  std::string m_more;
};

struct UploadView {
  std::string m_response;
  // Until the last byte of the answer, and until the end of the connection.
  std::chrono::milliseconds m_answered_after{0};
  std::chrono::milliseconds m_ended_after{0};
  boost::system::error_code m_error;

  [[nodiscard]] bool Has(const std::string& text) const {
    return m_response.find(text) != std::string::npos;
  }
};

UploadView Send(const Upload& upload, const Endpoint& node) {
  UploadView view;
  const auto begin = std::chrono::steady_clock::now();
  const auto elapsed = [&] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - begin);
  };
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address(node.m_address), node.m_port});
  Write(socket, upload.m_begin);
  socket.non_blocking(true);
  std::string bytes(4096, '\0');
  auto next_part = kSendPeriod;
  while (elapsed() < kGiveUp) {
    const std::size_t size =
        socket.read_some(asio::buffer(bytes), view.m_error);
    if (!view.m_error) {
      view.m_response += bytes.substr(0, size);
      view.m_answered_after = elapsed();
    } else if (view.m_error != asio::error::would_block) {
      break;
    }
    if (elapsed() >= next_part) {
      next_part += kSendPeriod;
      boost::system::error_code ignored;
      (void)socket.write_some(asio::buffer(upload.m_more), ignored);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  view.m_ended_after = elapsed();
  return view;
}

class SlowUploads : public EachWay {
 protected:
  // Sends all uploads at once, each on a connection of its own.
  std::vector<UploadView> SendAll(const std::vector<Upload>& uploads,
                                  const Endpoint& node) {
    std::vector<UploadView> views(uploads.size());
    std::atomic<std::size_t> ended{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < uploads.size(); ++i) {
      clients.emplace_back([&, i] {
        views[i] = Send(uploads[i], node);
        ++ended;
      });
    }
    while (ended < uploads.size()) {
      SleepFor(Millis(5));
    }
    for (std::thread& client : clients) {
      client.join();
    }
    return views;
  }

  static std::string Head(const std::string& id, const std::string& fields) {
    return "POST /a/x HTTP/" + std::string(GetParam().m_client_version) +
           "\r\nHost: a\r\nX-Request-Id: " + id + "\r\n" + fields + "\r\n";
  }

  static std::string Chunk(const std::string& bytes) {
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return chunk.str();
  }

  static bool IsHttp11() {
    return std::string(GetParam().m_client_version) == "1.1";
  }

  // Uploads that never end, in each framing, silent and slow, alone and behind
  // another request.
  static std::vector<Upload> EndlessUploads(const std::string& fields) {
    std::vector<Upload> uploads;
    for (const bool is_chunked : {false, true}) {
      for (const bool is_silent : {false, true}) {
        for (const bool is_expecting : {false, true}) {
          for (const bool is_pipelined : {false, true}) {
            if (!IsHttp11() && (is_chunked || is_expecting || is_pipelined)) {
              continue;
            }
            const std::string id = "u" + std::to_string(uploads.size());
            const std::string framing =
                is_chunked ? "Transfer-Encoding: chunked\r\n"
                           : "Content-Length: " + std::to_string(kStatedBytes) +
                                 "\r\n";
            const std::string part = is_chunked ? Chunk(kPart) : kPart;
            Upload upload;
            upload.m_begin =
                (is_pipelined
                     ? RequestBytes("GET", "/s/", "q" + id, "keep-alive")
                     : "") +
                Head(id, fields + framing +
                             (is_expecting ? "Expect: 100-continue\r\n" : "")) +
                part;
            upload.m_more =
                is_silent ? "" : part.substr(0, is_chunked ? part.size() : 64);
            uploads.push_back(upload);
          }
        }
      }
    }
    return uploads;
  }
};

// Guards against an upload that is never answered because its client doesn't
// send it to the end.
TEST_P(SlowUploads, AreAnsweredAtTheirDeadline) {
  std::atomic<int> runs{0};
  std::size_t held = 0;
  std::vector<Upload> uploads =
      EndlessUploads("X-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n");
  std::vector<UploadView> views;
  RunEach(
      [&](tcp::socket& socket, const std::string& id) {
        runs += id[0] == 'u' ? 1 : 0;
        Write(socket, Answer(id, "answer"));
      },
      [&](const Endpoint& node) {
        views = SendAll(uploads, node);
        held = EntryContext().m_body_bytes;
      });
  EXPECT_EQ(runs, 0);
  EXPECT_EQ(held, 0U);
  for (std::size_t i = 0; i < views.size(); ++i) {
    const UploadView& view = views[i];
    EXPECT_TRUE(view.Has("HTTP/1.1 408")) << i << " " << view.m_response;
    EXPECT_TRUE(view.Has("body_timeout")) << i << " " << view.m_response;
    EXPECT_TRUE(view.Has("Connection: close")) << i << " " << view.m_response;
    EXPECT_EQ(view.Has("200 OK"), uploads[i].m_begin.substr(0, 3) == "GET")
        << i;
    EXPECT_GE(view.m_answered_after.count(), kDeadlineMs) << i;
    EXPECT_LT(view.m_answered_after.count(), kDeadlineMs + kSlack.count()) << i;
    EXPECT_LT(view.m_ended_after, kGiveUp) << i;
    EXPECT_EQ(view.m_error, asio::error::eof) << i;
  }
}

// Guards against uploads that are never sent to the end and hold the memory
// for those of others.
TEST_P(SlowUploads, GiveTheirMemoryBackAtTheirDeadline) {
  EntryContext().m_settings.m_max_body_memory_bytes = kPart.size() * 4;
  const std::string deadline =
      "X-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n";
  std::vector<Upload> uploads(
      8, {Head("u1", deadline + "Content-Length: " +
                         std::to_string(kPart.size() + 1) + "\r\n") +
              kPart,
          ""});
  const Upload small{Head("v1", "Connection: close\r\nContent-Length: " +
                                    std::to_string(kPart.size()) + "\r\n") +
                         kPart,
                     ""};
  std::vector<UploadView> views;
  UploadView other;
  RunEach([](tcp::socket& socket,
             const std::string& id) { Write(socket, Answer(id, "answer")); },
          [&](const Endpoint& node) {
            views = SendAll(uploads, node);
            other = SendAll({small}, node).front();
          });
  for (const UploadView& view : views) {
    EXPECT_TRUE(view.Has("HTTP/1.1 408") || view.Has("HTTP/1.1 503"))
        << view.m_response;
  }
  EXPECT_TRUE(other.Has("200 OK")) << other.m_response;
}

// Guards against a refusal that waits for the body that it refuses.
TEST_P(SlowUploads, AreRefusedForMemoryBeforeTheyAreSent) {
  EntryContext().m_settings.m_max_body_memory_bytes = kPart.size() * 4;
  const std::string length =
      "Content-Length: " + std::to_string(kStatedBytes) + "\r\n";
  std::vector<Upload> uploads = {{Head("u1", length), ""},
                                 {Head("u2", length) + kPart, kPart}};
  if (IsHttp11()) {
    uploads.push_back({Head("u3", length + "Expect: 100-continue\r\n"), ""});
    std::string chunks;
    for (int i = 0; i < 5; ++i) {
      chunks += Chunk(kPart);
    }
    uploads.push_back(
        {Head("u4", "Transfer-Encoding: chunked\r\n") + chunks, ""});
  }
  std::vector<UploadView> views;
  std::size_t held = 0;
  RunEach([](tcp::socket& socket,
             const std::string& id) { Write(socket, Answer(id, "answer")); },
          [&](const Endpoint& node) {
            views = SendAll(uploads, node);
            held = EntryContext().m_body_bytes;
          });
  EXPECT_EQ(held, 0U);
  for (const UploadView& view : views) {
    EXPECT_EQ(view.m_response.substr(0, 12), "HTTP/1.1 503") << view.m_response;
    EXPECT_TRUE(view.Has("Retry-After: ")) << view.m_response;
    EXPECT_LT(view.m_answered_after, kSlack);
    EXPECT_LT(view.m_ended_after, kGiveUp);
    EXPECT_EQ(view.m_error, asio::error::eof);
  }
}

// Guards against a server that waits without end for a client that neither
// sends nor leaves, where the deadline is far away.
TEST_P(SlowUploads, OfSilentClientsEndBeforeTheirDeadline) {
  HttpServerLimits limits;
  limits.m_body_silence_timeout = Millis(kDeadlineMs);
  SetHttpLimits(limits);
  const std::vector<Upload> uploads(
      2,
      {Head("u1", "X-Deadline-Ms: 60000\r\nContent-Length: 100000\r\n") + kPart,
       ""});
  std::vector<UploadView> views;
  RunEach([](tcp::socket& socket,
             const std::string& id) { Write(socket, Answer(id, "answer")); },
          [&](const Endpoint& node) { views = SendAll(uploads, node); });
  for (const UploadView& view : views) {
    EXPECT_TRUE(view.Has("HTTP/1.1 408")) << view.m_response;
    EXPECT_LT(view.m_answered_after.count(), kDeadlineMs + kSlack.count());
  }
}

INSTANTIATE_TEST_SUITE_P(Ways,
                         SlowUploads,
                         ::testing::ValuesIn(kWays),
                         NameOfWay);

}  // namespace
}  // namespace hemlockpoint::platform
