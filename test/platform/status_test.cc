// Answers with statuses that HTTP doesn't have.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "platform/each_way.h"

namespace hemlockpoint::platform {
namespace {

constexpr const char* kInvalidStatuses[] = {"000", "001", "050", "099",
                                            "600", "700", "999"};
constexpr const char* kContents[] = {"", "body"};
constexpr const char* kMethods[] = {"GET", "HEAD"};

struct StatusCase {
  std::string m_status;
  std::string m_content;
  std::string m_method;
  // Whether a 200 follows on the connection.
  bool m_is_followed;
};

std::vector<StatusCase> AllCases() {
  std::vector<StatusCase> cases;
  for (const char* status : kInvalidStatuses) {
    for (const char* content : kContents) {
      for (const char* method : kMethods) {
        cases.push_back({status, content, method, false});
        cases.push_back({status, content, method, true});
      }
    }
  }
  return cases;
}

class InvalidStatus : public EachWay {};

// Guards against an answer without a meaning that is passed on, or taken for an
// interim one, and against another request on its connection.
TEST_P(InvalidStatus, IsNoAnswer) {
  const std::vector<StatusCase> cases = AllCases();
  std::vector<std::string> clients;
  for (const StatusCase& status_case : cases) {
    const std::string number = std::to_string(clients.size() / 2);
    clients.push_back(RequestBytes(status_case.m_method, "/a/", number, "close",
                                   GetParam().m_client_version));
    clients.push_back(RequestBytes("GET", "/a/", "next" + number, "close",
                                   GetParam().m_client_version));
  }
  std::map<std::string, const tcp::socket*> connections;
  const std::vector<ClientView> views = FetchEach(
      [&](tcp::socket& socket, const std::string& id) {
        connections[id] = &socket;
        if (id[0] == 'n') {
          Write(socket, Answer(id, "next"));
          return;
        }
        const StatusCase& status_case = cases.at(std::stoul(id));
        const bool is_head = status_case.m_method == "HEAD";
        Write(socket,
              "HTTP/1.1 " + status_case.m_status + " Status\r\nX-Request-Id: " +
                  id + "\r\nX-Server-Seal: s\r\nContent-Length: " +
                  std::to_string(status_case.m_content.size()) + "\r\n\r\n" +
                  (is_head ? "" : status_case.m_content) +
                  (status_case.m_is_followed ? Answer(id, is_head ? "" : "200")
                                             : ""));
      },
      clients);
  ASSERT_EQ(views.size(), clients.size());
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const std::string context = cases[i].m_status + " " + cases[i].m_method;
    EXPECT_EQ(views[2 * i].Status(), "502")
        << context << ": " << views[2 * i].m_response;
    EXPECT_FALSE(views[2 * i].Has("X-Server-Seal")) << context;
    EXPECT_EQ(views[2 * i + 1].Status(), "200") << context;
    EXPECT_EQ(views[2 * i + 1].Body(), "next") << context;
    const std::string id = std::to_string(i);
    EXPECT_NE(connections[id], connections["next" + id]) << context;
  }
}

INSTANTIATE_TEST_SUITE_P(Ways,
                         InvalidStatus,
                         ::testing::ValuesIn(kWays),
                         NameOfWay);

}  // namespace
}  // namespace hemlockpoint::platform
