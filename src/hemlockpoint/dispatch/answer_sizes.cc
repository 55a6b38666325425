#include "hemlockpoint/dispatch/answer_sizes.h"

#include "hemlockpoint/dispatch/service_times.h"

namespace hemlockpoint {

void RecordAnswerSize(AnswerSizes& sizes,
                      const std::string& route,
                      std::size_t bytes) {
  const bool known = sizes.m_by_route.count(route) != 0;
  if (!known && sizes.m_by_route.size() >= kMaxTimedRoutes) {
    return;
  }
  double& average = sizes.m_by_route[route];
  const auto size = static_cast<double>(bytes);
  average = known ? average + (size - average) * kServiceTimeGain : size;
}

double ExpectedAnswerSize(const AnswerSizes& sizes, const std::string& route) {
  const auto known = sizes.m_by_route.find(route);
  return known == sizes.m_by_route.end() ? kUnknownAnswerBytes : known->second;
}

}  // namespace hemlockpoint
