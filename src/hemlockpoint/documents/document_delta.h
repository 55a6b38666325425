#ifndef HEMLOCKPOINT_DOCUMENTS_DOCUMENT_DELTA_H_
#define HEMLOCKPOINT_DOCUMENTS_DOCUMENT_DELTA_H_

#include <optional>

#include "hemlockpoint/wire/document_messages.h"

namespace hemlockpoint {

/// @return What turns the older document into the newer one; the whole newer
/// one when there is no older.
[[nodiscard]] DocumentPush MakeDocumentPush(const RouteDocument* older,
                                            const RouteDocument& newer);

/// @brief Applies a push to the document in force at a node.
/// @param current Null while the node has none.
/// @return The newer document; nothing when the push isn't newer, or builds on
/// another version.
[[nodiscard]] std::optional<RouteDocument> ApplyDocumentPush(
    const RouteDocument* current,
    const DocumentPush& push);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DOCUMENTS_DOCUMENT_DELTA_H_
