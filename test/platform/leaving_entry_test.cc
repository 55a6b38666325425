// An entry node that is being stopped, and a target beside another node.

#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>

#include "platform/two_nodes.h"

namespace hemlockpoint::platform {
namespace {

constexpr Millis kWorkTime(300);

class LeavingEntry : public TwoNodes {
 protected:
  LeavingEntry() : TwoNodes("127.0.93.1") {}

  ScriptedTarget::Serve Work() {
    return [this](tcp::socket& socket, const std::string& id) {
      ++m_runs;
      std::this_thread::sleep_for(ToChrono(kWorkTime));
      Write(socket, Answer(id, "body of " + id));
    };
  }

  std::atomic<int> m_runs{0};
};

// Guards against requests that are passed on late in a planned stop and are cut
// off at its end while the target is at work. The body of this one is complete
// when less time is left than the work takes.
TEST_F(LeavingEntry, RefusesARequestThatItCannotFinishBeforeItsStop) {
  Run(Work(), [this] {
    EXPECT_NE(Request("q1").find(" 200 "), std::string::npos);
    m_entry_context.m_leaving = true;
    m_entry_context.m_stops_at = SteadyNow() + Millis(600);
    const std::string response = Request("q2", Millis(400));
    EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
    EXPECT_NE(response.find("Retry-After"), std::string::npos) << response;
    EXPECT_EQ(m_runs, 1);
  });
}

TEST_F(LeavingEntry, PassesOnARequestThatItCanFinishBeforeItsStop) {
  Run(Work(), [this] {
    EXPECT_NE(Request("q1").find(" 200 "), std::string::npos);
    m_entry_context.m_leaving = true;
    m_entry_context.m_stops_at = SteadyNow() + kWorkTime * 5;
    const std::string response = Request("q2", Millis(50));
    EXPECT_NE(response.find("body of q2"), std::string::npos) << response;
  });
}

// Without a measured duration, the objective of the route is the expectation.
TEST_F(LeavingEntry, ExpectsTheObjectiveOfARouteWithoutAMeasuredDuration) {
  Run(Work(), [this] {
    RouteDocument document = MakeDocument();
    document.m_routes[0].m_objective = Millis(2000);
    m_entry_context.m_route_table = MakeRouteTable(std::move(document));
    m_entry_context.m_leaving = true;
    m_entry_context.m_stops_at = SteadyNow() + Millis(1000);
    const std::string response = Request("q1");
    EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
    EXPECT_EQ(m_runs, 0);
  });
}

}  // namespace
}  // namespace hemlockpoint::platform
