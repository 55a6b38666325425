#ifndef HEMLOCKPOINT_DOCUMENTS_DOCUMENT_DELTA_H_
#define HEMLOCKPOINT_DOCUMENTS_DOCUMENT_DELTA_H_

#include <optional>

#include "hemlockpoint/wire/document_messages.h"

namespace hemlockpoint {

/// @return A push with the changes from the older document to the newer one. It
/// contains the full newer document when the older is null, or when a route
/// name occurs twice in either.
[[nodiscard]] DocumentPush MakeDocumentPush(const RouteDocument* older,
                                            const RouteDocument& newer);

/// @brief Applies a push to a node's current document.
/// @param current Null while the node has no document.
/// @return The newer document. Nothing when the push is not newer than the
/// current document, or is based on a version other than the current one.
[[nodiscard]] std::optional<RouteDocument> ApplyDocumentPush(
    const RouteDocument* current,
    const DocumentPush& push);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DOCUMENTS_DOCUMENT_DELTA_H_
