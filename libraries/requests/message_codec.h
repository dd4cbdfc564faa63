#pragma once

#include "base/outcome.h"
#include "requests/answer.h"
#include "requests/dispatch_right.h"
#include "requests/witness_ledger.h"

#include <json/value.h>

namespace ivypier::requests {

/// JSON encoding of the messages between nodes. Decoding fails with `invalid_argument` when a field that the
/// protocol depends on is missing or invalid.
Json::Value encode(const request_name &request);
Json::Value encode(const dispatch_intent &intent);
Json::Value encode(const final_answer &answer);
Json::Value encode(const witness_verdict &verdict);
Json::Value encode(const witness_record &record);
Json::Value encode(const epoch_floor &floor);

outcome<request_name> decodeName(const Json::Value &json);
outcome<dispatch_intent> decodeIntent(const Json::Value &json);
outcome<final_answer> decodeAnswer(const Json::Value &json);
outcome<witness_verdict> decodeVerdict(const Json::Value &json);
outcome<witness_record> decodeRecord(const Json::Value &json);
outcome<epoch_floor> decodeFloor(const Json::Value &json);

} // namespace ivypier::requests
