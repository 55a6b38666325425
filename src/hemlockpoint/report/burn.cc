#include "hemlockpoint/report/burn.h"

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;
namespace acc = boost::accumulators;

std::int64_t MinuteOf(Millis now) {
  return static_cast<std::int64_t>(now / kBurnBucket);
}

BurnBucket& BucketAt(ObjectiveRecord& record, Millis now) {
  const std::int64_t minute = MinuteOf(now);
  const auto slot = static_cast<std::size_t>(
      minute % static_cast<std::int64_t>(kBurnBuckets));
  BurnBucket& bucket = record.m_buckets[slot];
  if (bucket.m_minute != minute) {
    bucket = BurnBucket();
    bucket.m_minute = minute;
  }
  return bucket;
}

}  // namespace

void RecordObjective(BurnTable& table,
                     const Policy& policy,
                     const CallAttributes& work,
                     std::size_t priority_class,
                     bool answered,
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
        table.m_records.size() >= kMaxBurnRecords) {
      return;
    }
    ObjectiveRecord& record = table.m_records[key];
    record.m_good_share = rule.m_good_share;
    BurnBucket& bucket = BucketAt(record, now);
    ++bucket.m_total;
    bucket.m_bad += answered && latency <= rule.m_latency ? 0 : 1;
    if (answered) {
      record.m_latency(latency.value());
    }
    return;
  }
}

BurnSum SumOver(const ObjectiveRecord& record,
                std::size_t buckets,
                Millis now) {
  BurnSum sum;
  const std::int64_t oldest =
      MinuteOf(now) - static_cast<std::int64_t>(buckets);
  for (const BurnBucket& bucket : record.m_buckets) {
    if (bucket.m_minute > oldest) {
      sum.m_total += bucket.m_total;
      sum.m_bad += bucket.m_bad;
    }
  }
  return sum;
}

double BurnRate(const BurnSum& sum, double good_share) {
  if (sum.m_total == 0) {
    return 0;
  }
  const double bad_share =
      static_cast<double>(sum.m_bad) / static_cast<double>(sum.m_total);
  return bad_share / (1 - good_share);
}

ordered_json BurnJson(const BurnTable& table, Millis now) {
  ordered_json rows = ordered_json::array();
  for (const auto& [key, record] : table.m_records) {
    ordered_json windows = ordered_json::array();
    for (const std::size_t window : kBurnWindows) {
      const BurnSum sum = SumOver(record, window, now);
      windows.push_back(
          {{"minutes", window}, {"total", sum.m_total}, {"bad", sum.m_bad}});
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
