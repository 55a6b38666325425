#include "hemlockpoint/node/announcement.h"

#include <nlohmann/json.hpp>

#include "hemlockpoint/entry/caller_request.h"

namespace hemlockpoint {

namespace {

using nlohmann::json;
using AnnouncementResult = Result<TargetAnnouncement>;

constexpr std::uint64_t kMaxSlots = 65536;

std::string ReadStringField(const json& object, const char* key) {
  const auto found = object.find(key);
  const bool is_string = found != object.end() && found->is_string();
  return is_string ? found->get<std::string>() : "";
}

std::uint64_t ReadUnsignedField(const json& object, const char* key) {
  const auto found = object.find(key);
  const bool is_unsigned = found != object.end() && found->is_number_unsigned();
  return is_unsigned ? found->get<std::uint64_t>() : 0;
}

}  // namespace

AnnouncementResult ParseAnnouncement(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return AnnouncementResult::Failure("the body is not a JSON object");
  }
  TargetAnnouncement announcement;
  announcement.m_service = ServiceName(ReadStringField(object, "service"));
  if (announcement.m_service.empty() ||
      announcement.m_service.value().size() > kMaxServiceBytes) {
    return AnnouncementResult::Failure("service: expected 1 to 64 bytes");
  }
  const Result<Endpoint> endpoint =
      ParseEndpoint(ReadStringField(object, "address"));
  if (!endpoint) {
    return AnnouncementResult::Failure("address: " + endpoint.reason());
  }
  announcement.m_endpoint = *endpoint;
  announcement.m_slots = ReadUnsignedField(object, "slots");
  announcement.m_connections = ReadUnsignedField(object, "connections");
  if (announcement.m_slots == 0 || announcement.m_slots > kMaxSlots) {
    return AnnouncementResult::Failure("slots: expected 1 to 65536");
  }
  if (announcement.m_connections < announcement.m_slots) {
    return AnnouncementResult::Failure("connections: fewer than slots");
  }
  const std::string state = ReadStringField(object, "state");
  if (state != "ready" && state != "draining") {
    return AnnouncementResult::Failure("state: expected ready or draining");
  }
  announcement.m_draining = state == "draining";
  announcement.m_incarnation = ReadStringField(object, "incarnation");
  return announcement;
}

}  // namespace hemlockpoint
