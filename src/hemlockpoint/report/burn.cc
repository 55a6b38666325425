#include "hemlockpoint/report/burn.h"

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;
namespace acc = boost::accumulators;

std::int64_t MinuteIndex(Millis now) {
  return static_cast<std::int64_t>(now / kBurnBucketWidth);
}

BurnBucket& FindOrResetBucket(ObjectiveRecord& record, Millis now) {
  const std::int64_t minute = MinuteIndex(now);
  const auto index = static_cast<std::size_t>(
      minute % static_cast<std::int64_t>(kBurnBucketCount));
  BurnBucket& bucket = record.m_buckets[index];
  if (bucket.m_minute != minute) {
    bucket = BurnBucket();
    bucket.m_minute = minute;
  }
  return bucket;
}

}  // namespace

void RecordObjectiveOutcome(BurnRateTable& table,
                            const Policy& policy,
                            const CallAttributes& work,
                            std::size_t priority_class,
                            bool is_success,
                            Millis latency,
                            Millis now) {
  for (const ObjectiveRule& rule : policy.m_objective_rules) {
    if (!MatchesCall(rule.m_work, work)) {
      continue;
    }
    const std::string class_name = priority_class < policy.m_classes.size()
                                       ? policy.m_classes[priority_class]
                                       : "";
    const std::array<std::string, 3> key = {
        std::string(work.m_service), class_name,
        rule.m_name.m_section + "/" + rule.m_name.m_rule};
    if (table.m_records.count(key) == 0 &&
        table.m_records.size() >= kMaxObjectiveRecords) {
      return;
    }
    ObjectiveRecord& record = table.m_records[key];
    record.m_good_share = rule.m_good_share;
    BurnBucket& bucket = FindOrResetBucket(record, now);
    ++bucket.m_total_calls;
    bucket.m_bad_calls += is_success && latency <= rule.m_latency ? 0 : 1;
    if (is_success) {
      record.m_latency(latency.value());
    }
    return;
  }
}

ObjectiveTotals SumLastBuckets(const ObjectiveRecord& record,
                               std::size_t bucket_count,
                               Millis now) {
  ObjectiveTotals totals;
  const std::int64_t oldest =
      MinuteIndex(now) - static_cast<std::int64_t>(bucket_count);
  for (const BurnBucket& bucket : record.m_buckets) {
    if (bucket.m_minute > oldest) {
      totals.m_total_calls += bucket.m_total_calls;
      totals.m_bad_calls += bucket.m_bad_calls;
    }
  }
  return totals;
}

double BurnRate(const ObjectiveTotals& totals, double good_share) {
  if (totals.m_total_calls == 0) {
    return 0;
  }
  const double bad_share = static_cast<double>(totals.m_bad_calls) /
                           static_cast<double>(totals.m_total_calls);
  return bad_share / (1 - good_share);
}

ordered_json BurnRatesToJson(const BurnRateTable& table, Millis now) {
  ordered_json rows = ordered_json::array();
  for (const auto& [key, record] : table.m_records) {
    ordered_json windows = ordered_json::array();
    for (const std::size_t window : kBurnWindowBuckets) {
      const ObjectiveTotals totals = SumLastBuckets(record, window, now);
      windows.push_back({{"minutes", window},
                         {"total", totals.m_total_calls},
                         {"bad", totals.m_bad_calls}});
    }
    rows.push_back({{"service", key[0]},
                    {"class", key[1]},
                    {"objective", key[2]},
                    {"good_share", record.m_good_share},
                    {"answers", acc::count(record.m_latency)},
                    {"mean_ms", acc::mean(record.m_latency)},
                    {"p99_ms", acc::p_square_quantile(record.m_latency)},
                    {"windows", windows}});
  }
  return rows;
}

}  // namespace hemlockpoint
