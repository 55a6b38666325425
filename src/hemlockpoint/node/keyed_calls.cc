#include "hemlockpoint/node/keyed_calls.h"

#include <utility>

#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

constexpr Millis kClaimTimeout(1500);
constexpr Millis kKeyRetryAfter(500);

// A response as the replicas store it.
struct StoredResponse {
  std::uint64_t m_status = 0;
  HeaderFields m_headers;
  Bytes m_body;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("status", self.m_status);
    visit("headers", self.m_headers);
    visit("body", self.m_body);
  }
};

std::string EncodeStoredResponse(const ResponseStart& response) {
  return EncodeFields(
      StoredResponse{response.m_status, response.m_headers, response.m_body});
}

std::optional<ResponseStart> DecodeStoredResponse(const std::string& bytes) {
  const auto stored = DecodeFields<StoredResponse>(bytes);
  if (!stored) {
    return std::nullopt;
  }
  ResponseStart response;
  response.m_status = stored->m_status;
  response.m_headers = stored->m_headers;
  response.m_body = stored->m_body;
  response.m_is_replayed = true;
  return response;
}

Refusal MakeResultLostRefusal(double phase) {
  return MakeUnknownOutcome(Reason::kKeyResultLost, {"claim_phase", phase, 0});
}

}  // namespace

std::string ClaimKeyOf(const CallStart& start) {
  // The separator occurs neither in the name of a caller nor in a key.
  return start.m_metadata.m_caller.value() + " " +
         start.m_request.m_service.value() + " " + start.m_metadata.m_key;
}

KeyedCalls::KeyedCalls(NodeContext& context, ClaimService& claims)
    : m_context(context), m_claims(claims) {}

std::optional<ResponseStart> KeyedCalls::BeginClaim(const CallStart& start,
                                                    Millis deadline) {
  const std::string claim_key = ClaimKeyOf(start);
  const Fingerprint fingerprint = start.m_metadata.m_fingerprint;
  const auto found = m_keys.find(claim_key);
  if (found != m_keys.end()) {
    const std::shared_ptr<KeyState> key = found->second;
    if (key->m_fingerprint != fingerprint) {
      return MakeRefusedResponse(
          MakeSignalRefusal(Reason::kKeyMismatch, {"same_key", 1, 0}));
    }
    (void)key->m_ended.WaitUntil(deadline, [&key] {
      return key->m_phase != ClaimPhase::kRunning || key->m_is_released;
    });
    return MakeResponse(*key);
  }
  EvictEndedKeys();
  auto key = std::make_shared<KeyState>();
  key->m_claimant = {m_context.m_settings.m_node, m_context.m_incarnation,
                     ++m_last_session};
  key->m_fingerprint = fingerprint;
  m_keys[claim_key] = key;
  const ClaimResult result =
      m_claims.Acquire(start.m_request.m_service, claim_key, key->m_claimant,
                       fingerprint, Min(deadline, SteadyNow() + kClaimTimeout));
  if (result.m_state == ClaimAttemptState::kAcquired) {
    return std::nullopt;
  }
  key->m_is_released = true;
  key->m_ended.Notify();
  m_keys.erase(claim_key);
  if (result.m_state == ClaimAttemptState::kUnavailable) {
    Refusal refusal =
        MakeSignalRefusal(Reason::kKeyUnavailable, {"claim_majority", 0, 1});
    refusal.m_retry_after = kKeyRetryAfter;
    return MakeRefusedResponse(std::move(refusal));
  }
  if (result.m_holder.m_fingerprint != fingerprint) {
    return MakeRefusedResponse(
        MakeSignalRefusal(Reason::kKeyMismatch, {"same_key", 1, 0}));
  }
  return MakeResponse(result.m_holder);
}

void KeyedCalls::EndClaim(const CallStart& start,
                          ClaimStep step,
                          const std::optional<ResponseStart>& response) {
  const std::string claim_key = ClaimKeyOf(start);
  const auto found = m_keys.find(claim_key);
  if (found == m_keys.end()) {
    return;
  }
  const std::shared_ptr<KeyState> key = found->second;
  std::string stored;
  if (step == ClaimStep::kRelease) {
    key->m_is_released = true;
    m_keys.erase(found);
  } else {
    const bool is_complete = step == ClaimStep::kComplete;
    key->m_phase = is_complete ? ClaimPhase::kAnswered : ClaimPhase::kUnknown;
    key->m_response = response;
    if (response) {
      stored = EncodeStoredResponse(*response);
    }
    m_ended_keys.push_back(claim_key);
  }
  key->m_ended.Notify();
  m_claims.EndClaim(step, start.m_request.m_service, claim_key, key->m_claimant,
                    key->m_fingerprint, stored);
}

ResponseStart KeyedCalls::MakeResponse(const KeyState& key) const {
  if (key.m_is_released) {
    // The first call did not run and released the key, so a resend may claim
    // it.
    Refusal refusal =
        MakeSignalRefusal(Reason::kKeyUnavailable, {"first_call_ran", 0, 1});
    refusal.m_retry_after = kKeyRetryAfter;
    return MakeRefusedResponse(std::move(refusal));
  }
  if (key.m_response) {
    ResponseStart response = *key.m_response;
    response.m_is_replayed = true;
    return response;
  }
  return MakeRefusedResponse(
      MakeResultLostRefusal(static_cast<double>(key.m_phase)));
}

ResponseStart KeyedCalls::MakeResponse(const ClaimReply& holder) const {
  if (holder.m_phase == ClaimPhase::kAnswered) {
    if (auto response = DecodeStoredResponse(holder.m_response.m_data)) {
      return *response;
    }
  }
  ResponseStart response = MakeRefusedResponse(
      MakeResultLostRefusal(static_cast<double>(holder.m_phase)));
  const bool is_held_here =
      holder.m_holder.m_node == m_context.m_settings.m_node;
  if (!is_held_here && holder.m_phase != ClaimPhase::kUnknown) {
    response.m_redirect = holder.m_holder.m_node;
  }
  return response;
}

ResponseStart KeyedCalls::MakeRefusedResponse(Refusal refusal) const {
  refusal.m_node = m_context.m_settings.m_node;
  ResponseStart response;
  response.m_refusal = std::move(refusal);
  return response;
}

void KeyedCalls::EvictEndedKeys() {
  while (m_keys.size() >= kMaxLocalKeys && !m_ended_keys.empty()) {
    m_keys.erase(m_ended_keys.front());
    m_ended_keys.pop_front();
  }
}

}  // namespace hemlockpoint
