// Benchmarks of the request path's decision functions, which do no I/O and read
// no clock, and of the codec.

#include <benchmark/benchmark.h>

#include "hemlockpoint/admission/admission.h"
#include "hemlockpoint/claims/replica.h"
#include "hemlockpoint/entry/filters.h"
#include "hemlockpoint/wire/codec.h"

namespace hemlockpoint {
namespace {

const KindName kKind("stock GET /count");

// Admission of one call while 120 run and `range(0)` wait in the queue.
void OfferAndDispatch(benchmark::State& bench) {
  AdmissionState state;
  SetSlots(state.m_limit, 120, true, Millis(-1e6));
  const auto queued = static_cast<std::uint64_t>(bench.range(0));
  std::uint64_t id = 0;
  OfferedCall call;
  call.m_root = RequestId("n-1");
  call.m_kind = kKind;
  call.m_deadline = Millis(1e9);
  for (std::uint64_t i = 0; i < 120 + queued; ++i) {
    call.m_call = CallId(++id);
    (void)Offer(state, call, Millis(0));
  }
  std::uint64_t oldest_running = 0;
  (void)Dispatch(state, Millis(0));
  while (bench.KeepRunning()) {
    FinishCall(state, CallId(++oldest_running));
    call.m_call = CallId(++id);
    benchmark::DoNotOptimize(Offer(state, call, Millis(1)));
    benchmark::DoNotOptimize(Dispatch(state, Millis(1)));
  }
}
BENCHMARK(OfferAndDispatch)->Arg(0)->Arg(64)->Arg(512);

// One update of the shed threshold under overload.
void MoveThreshold(benchmark::State& bench) {
  ShedState shed;
  double now = 0;
  while (bench.KeepRunning()) {
    now += 100;
    RecordOffered(shed, 1.5);
    UpdateShedThreshold(shed, Millis(50), true, Millis(now));
  }
}
BENCHMARK(MoveThreshold);

// Choice of a target among `range(0)` targets.
void Choose(benchmark::State& bench) {
  Balancer balancer;
  for (int i = 0; i < bench.range(0); ++i) {
    TargetView target;
    target.m_node = NodeId("n" + std::to_string(i));
    balancer.m_targets[target.m_node] = target;
  }
  // The first of the two random numbers of each choice.
  double draw = 0;
  while (bench.KeepRunning()) {
    draw = draw > 0.9 ? 0 : draw + 0.01;
    benchmark::DoNotOptimize(
        ChooseTarget(balancer, {}, "r", {draw, 0.5}, Millis(1)));
  }
}
BENCHMARK(Choose)->Arg(4)->Arg(29)->Arg(120);

// All entry filters, for a call that passes them.
void Filter(benchmark::State& bench) {
  EntryFilterState state;
  EntryCall call;
  call.m_policy = std::make_shared<const Policy>(DefaultPolicy());
  call.m_request.m_service = ServiceName("stock");
  call.m_kind = kKind;
  state.m_services[call.m_request.m_service].m_targets[NodeId("t")];
  const std::vector<double> randoms(EntryFilters().size(), 0.5);
  while (bench.KeepRunning()) {
    benchmark::DoNotOptimize(RunFilters(state, call, randoms, Millis(1)));
  }
}
BENCHMARK(Filter);

// Claims of 50000 keys in turn at a replica that is alone in its set.
void GrantClaim(benchmark::State& bench) {
  ClaimReplicaSet set;
  set.m_service = ServiceName("orders");
  set.m_epoch = 1;
  set.m_members.push_back({NodeId("r"), "", 1, 1});
  ClaimReplica replica = StartReplica({NodeId("r"), 1}, set, Millis(0));
  ClaimRequest request;
  request.m_service = set.m_service;
  request.m_epoch = 1;
  std::uint64_t number = 0;
  while (bench.KeepRunning()) {
    request.m_key = "caller orders " + std::to_string(++number % 50'000);
    benchmark::DoNotOptimize(HandleClaim(replica, request, Millis(1)));
  }
}
BENCHMARK(GrantClaim);

// One round trip of a call's first message through the codec.
void EncodeAndDecodeCall(benchmark::State& bench) {
  CallStart call;
  call.m_metadata.m_root = RequestId("node-1-0123456789abcdef");
  call.m_request.m_service = ServiceName("stock");
  call.m_request.m_method = "GET";
  call.m_request.m_path = "/count/7";
  call.m_request.m_headers = {{"Host", "stock"}, {"Accept", "*/*"}};
  while (bench.KeepRunning()) {
    benchmark::DoNotOptimize(DecodeMessage(EncodeMessage(call)));
  }
}
BENCHMARK(EncodeAndDecodeCall);

}  // namespace
}  // namespace hemlockpoint
