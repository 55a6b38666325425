#include "hemlockpoint/node/keyed_calls.h"

#include <utility>

#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

constexpr Millis kClaimTimeout(1500);
constexpr Millis kKeyRetryAfter(500);

// An answer as replicas keep it.
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

std::string EncodeStoredResponse(const ResponseStart& answer) {
  return EncodeFields(
      StoredResponse{answer.m_status, answer.m_headers, answer.m_body});
}

std::optional<ResponseStart> DecodeStoredResponse(const std::string& bytes) {
  const auto kept = DecodeFields<StoredResponse>(bytes);
  if (!kept) {
    return std::nullopt;
  }
  ResponseStart answer;
  answer.m_status = kept->m_status;
  answer.m_headers = kept->m_headers;
  answer.m_body = kept->m_body;
  answer.m_is_replayed = true;
  return answer;
}

Refusal MakeResultLostRefusal(double phase) {
  return MakeUnknownOutcome(Reason::kKeyResultLost, {"claim_phase", phase, 0});
}

}  // namespace

std::string ClaimKeyOf(const CallStart& start) {
  // The separator can't occur in a caller's name or in a key.
  return start.m_metadata.m_caller.value() + " " +
         start.m_request.m_service.value() + " " + start.m_metadata.m_key;
}

KeyedCalls::KeyedCalls(NodeContext& core, ClaimService& claims)
    : m_context(core), m_claims(claims) {}

std::optional<ResponseStart> KeyedCalls::Begin(const CallStart& start,
                                               Millis deadline) {
  const std::string name = ClaimKeyOf(start);
  const Fingerprint fingerprint = start.m_metadata.m_fingerprint;
  const auto known = m_keys.find(name);
  if (known != m_keys.end()) {
    const std::shared_ptr<Key> key = known->second;
    if (key->m_fingerprint != fingerprint) {
      return Refuse(
          MakeSignalRefusal(Reason::kKeyMismatch, {"same_key", 1, 0}));
    }
    (void)key->m_ended.WaitUntil(deadline, [&key] {
      return key->m_phase != ClaimPhase::kRunning || key->m_is_released;
    });
    return AnswerFrom(*key);
  }
  MakeRoom();
  auto key = std::make_shared<Key>();
  key->m_claimant = {m_context.m_settings.m_node, m_context.m_incarnation,
                     ++m_last_session};
  key->m_fingerprint = fingerprint;
  m_keys[name] = key;
  const ClaimResult result =
      m_claims.Acquire(start.m_request.m_service, name, key->m_claimant,
                       fingerprint, Min(deadline, SteadyNow() + kClaimTimeout));
  if (result.m_state == ClaimAttemptState::kAcquired) {
    return std::nullopt;
  }
  key->m_is_released = true;
  key->m_ended.Notify();
  m_keys.erase(name);
  if (result.m_state == ClaimAttemptState::kUnavailable) {
    Refusal refusal =
        MakeSignalRefusal(Reason::kKeyUnavailable, {"claim_majority", 0, 1});
    refusal.m_retry_after = kKeyRetryAfter;
    return Refuse(std::move(refusal));
  }
  if (result.m_holder.m_fingerprint != fingerprint) {
    return Refuse(MakeSignalRefusal(Reason::kKeyMismatch, {"same_key", 1, 0}));
  }
  return AnswerFrom(result.m_holder);
}

void KeyedCalls::End(const CallStart& start,
                     ClaimStep step,
                     const std::optional<ResponseStart>& answer) {
  const std::string name = ClaimKeyOf(start);
  const auto known = m_keys.find(name);
  if (known == m_keys.end()) {
    return;
  }
  const std::shared_ptr<Key> key = known->second;
  std::string kept;
  if (step == ClaimStep::kRelease) {
    key->m_is_released = true;
    m_keys.erase(known);
  } else {
    const bool complete = step == ClaimStep::kComplete;
    key->m_phase = complete ? ClaimPhase::kAnswered : ClaimPhase::kUnknown;
    key->m_response = answer;
    if (answer) {
      kept = EncodeStoredResponse(*answer);
    }
    m_ended.push_back(name);
  }
  key->m_ended.Notify();
  m_claims.End(step, start.m_request.m_service, name, key->m_claimant,
               key->m_fingerprint, kept);
}

ResponseStart KeyedCalls::AnswerFrom(const Key& key) const {
  if (key.m_is_released) {
    // The first call did not run, and its key is free again.
    Refusal refusal =
        MakeSignalRefusal(Reason::kKeyUnavailable, {"first_call_ran", 0, 1});
    refusal.m_retry_after = kKeyRetryAfter;
    return Refuse(std::move(refusal));
  }
  if (key.m_response) {
    ResponseStart answer = *key.m_response;
    answer.m_is_replayed = true;
    return answer;
  }
  return Refuse(MakeResultLostRefusal(static_cast<double>(key.m_phase)));
}

ResponseStart KeyedCalls::AnswerFrom(const ClaimReply& holder) const {
  if (holder.m_phase == ClaimPhase::kAnswered) {
    if (auto answer = DecodeStoredResponse(holder.m_response.m_data)) {
      return *answer;
    }
  }
  ResponseStart answer =
      Refuse(MakeResultLostRefusal(static_cast<double>(holder.m_phase)));
  const bool here = holder.m_holder.m_node == m_context.m_settings.m_node;
  if (!here && holder.m_phase != ClaimPhase::kUnknown) {
    answer.m_redirect = holder.m_holder.m_node;
  }
  return answer;
}

ResponseStart KeyedCalls::Refuse(Refusal refusal) const {
  refusal.m_node = m_context.m_settings.m_node;
  ResponseStart answer;
  answer.m_refusal = std::move(refusal);
  return answer;
}

void KeyedCalls::MakeRoom() {
  while (m_keys.size() >= kMaxLocalKeys && !m_ended.empty()) {
    m_keys.erase(m_ended.front());
    m_ended.pop_front();
  }
}

}  // namespace hemlockpoint
