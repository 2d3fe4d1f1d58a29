#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// Records that the connection of an answer has broken before the answer showed
/// that its prompt is sound. Finds out whether the server has crashed, and
/// tells all processes which prompt parts may have caused it.
void recordBrokenAnswer(SharedState &shared, const RequestContext &context,
                        const fleet::ServerPtr &server);

/// Records that a server refuses connections.
void recordRefusedConnection(SharedState &shared,
                             const fleet::ServerPtr &server);

/// Records an answer that went on well after its begin.
void recordSoundAnswer(SharedState &shared, const RequestContext &context,
                       MonoTime begin);

/// Records a complete answer that was too short to show that its prompt is
/// sound: its server may crash after the end. Decides when a crash would be
/// known, with a health check if other requests with these parts need the
/// result.
void recordShortAnswer(SharedState &shared, const RequestContext &context,
                       const fleet::ServerPtr &server, MonoTime begin);

/// Returns a description for the caller if the request may not be sent to an
/// engine because a prompt part has crashed several, or an empty string.
std::string findBlockedPart(SharedState &shared, RequestContext &context);

} // namespace sardineford::gateway
