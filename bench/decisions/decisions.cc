// Times the pure decisions of the request path.

#include <benchmark/benchmark.h>

#include "hemlockpoint/admission/admission.h"
#include "hemlockpoint/claims/replica.h"
#include "hemlockpoint/entry/filters.h"
#include "hemlockpoint/wire/codec.h"

namespace hemlockpoint {
namespace {

const KindName kKind("stock GET /count");

void OfferAndDispatch(benchmark::State& run) {
  AdmissionState state;
  SetSlots(state.m_limit, 120, true, Millis(-1e6));
  const auto queued = static_cast<std::uint64_t>(run.range(0));
  std::uint64_t id = 0;
  OfferedCall call;
  call.m_root = RequestId("n-1");
  call.m_kind = kKind;
  call.m_deadline = Millis(1e9);
  for (std::uint64_t i = 0; i < 120 + queued; ++i) {
    call.m_call = CallId(++id);
    (void)Offer(state, call, Millis(0));
  }
  std::uint64_t oldest = 0;
  (void)Dispatch(state, Millis(0));
  while (run.KeepRunning()) {
    FinishCall(state, CallId(++oldest));
    call.m_call = CallId(++id);
    benchmark::DoNotOptimize(Offer(state, call, Millis(1)));
    benchmark::DoNotOptimize(Dispatch(state, Millis(1)));
  }
}
BENCHMARK(OfferAndDispatch)->Arg(0)->Arg(64)->Arg(512);

void MoveThreshold(benchmark::State& run) {
  ShedState shed;
  double now = 0;
  while (run.KeepRunning()) {
    now += 100;
    RecordOffered(shed, 1.5);
    UpdateShedThreshold(shed, Millis(50), true, Millis(now));
  }
}
BENCHMARK(MoveThreshold);

void Choose(benchmark::State& run) {
  Balancer balancer;
  for (int i = 0; i < run.range(0); ++i) {
    TargetView target;
    target.m_node = NodeId("n" + std::to_string(i));
    balancer.m_targets[target.m_node] = target;
  }
  double draw = 0;
  while (run.KeepRunning()) {
    draw = draw > 0.9 ? 0 : draw + 0.01;
    benchmark::DoNotOptimize(
        ChooseTarget(balancer, {}, "r", {draw, 0.5}, Millis(1)));
  }
}
BENCHMARK(Choose)->Arg(4)->Arg(29)->Arg(120);

void Filter(benchmark::State& run) {
  EntryFilterState state;
  EntryCall call;
  call.m_policy = std::make_shared<const Policy>(DefaultPolicy());
  call.m_request.m_service = ServiceName("stock");
  call.m_kind = kKind;
  state.m_services[call.m_request.m_service].m_targets[NodeId("t")];
  const std::vector<double> randoms(EntryFilters().size(), 0.5);
  while (run.KeepRunning()) {
    benchmark::DoNotOptimize(RunFilters(state, call, randoms, Millis(1)));
  }
}
BENCHMARK(Filter);

void GrantClaim(benchmark::State& run) {
  ClaimReplicaSet set;
  set.m_service = ServiceName("orders");
  set.m_epoch = 1;
  set.m_members.push_back({NodeId("r"), "", 1, 1});
  ClaimReplica replica = StartReplica({NodeId("r"), 1}, set, Millis(0));
  ClaimRequest request;
  request.m_service = set.m_service;
  request.m_epoch = 1;
  std::uint64_t number = 0;
  while (run.KeepRunning()) {
    request.m_key = "caller orders " + std::to_string(++number % 50'000);
    benchmark::DoNotOptimize(HandleClaim(replica, request, Millis(1)));
  }
}
BENCHMARK(GrantClaim);

void EncodeAndDecodeCall(benchmark::State& run) {
  CallStart call;
  call.m_metadata.m_root = RequestId("node-1-0123456789abcdef");
  call.m_request.m_service = ServiceName("stock");
  call.m_request.m_method = "GET";
  call.m_request.m_path = "/count/7";
  call.m_request.m_headers = {{"Host", "stock"}, {"Accept", "*/*"}};
  while (run.KeepRunning()) {
    benchmark::DoNotOptimize(DecodeMessage(EncodeMessage(call)));
  }
}
BENCHMARK(EncodeAndDecodeCall);

}  // namespace
}  // namespace hemlockpoint
