#pragma once

#include "Gateway/State.h"

namespace sardineford::gateway {

/// Returns what may be to blame if an engine crashes under an answer to the
/// request: the prompt parts that other requests may share, and the request.
std::vector<fleet::SuspectKey> suspectsOf(const RequestContext &context);

/// Returns the request alone, which is to blame if other servers crash under
/// it, or an engine before it answers.
std::vector<fleet::SuspectKey> requestSuspect(const RequestContext &context);

/// Records that the connection of an attempt has broken before the answer
/// showed that the suspects are sound. Finds out whether the server has
/// crashed, and publishes what may have caused it.
void recordBrokenAnswer(SharedState &shared,
                        const std::vector<fleet::SuspectKey> &suspects,
                        const fleet::ServerPtr &server);

/// Records that a server refuses connections.
void recordRefusedConnection(SharedState &shared,
                             const fleet::ServerPtr &server);

/// Records a response that has lasted for longer than one that crashes its
/// server.
void recordSoundAnswer(SharedState &shared, const RequestContext &context,
                       MonoTime begin);

/// Records a complete answer that was too short to show that the suspects are
/// sound: its server may crash after the end. Decides when a crash would be
/// known, with a health check if other requests with the suspects need the
/// result.
void recordShortAnswer(SharedState &shared,
                       std::vector<fleet::SuspectKey> suspects,
                       const fleet::ServerPtr &server, MonoTime begin);

/// Returns a description for the caller if the request may not be sent to a
/// server because it or one of its suspects has crashed several, or an empty
/// string. Notes the suspect of which the next attempt is a trial.
std::string findBlock(SharedState &shared, RequestContext &context,
                      const std::vector<fleet::SuspectKey> &suspects);

/// Counts the next attempt as the trial that was noted, if one was.
void recordTrial(SharedState &shared, const RequestContext &context);

} // namespace sardineford::gateway
