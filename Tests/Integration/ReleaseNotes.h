#pragma once

#include <string>
#include <vector>

namespace chive {

/// The release note of the proofs: services with a short idempotent kind (GET /read/), a short
/// guarded kind (POST /write/) and a long guarded kind (POST /upload/).
inline std::string releaseNote(const std::string &id, const std::vector<std::string> &services,
                               int retries = 2, int nestedCalls = 64)
{
    const std::string limits = "deadline_ms = 5000\nretries = " + std::to_string(retries)
                               + "\nnested_calls = " + std::to_string(nestedCalls) + "\n";
    std::string text = "id = \"" + id + "\"\nbuilds_on = \"\"\nauthor = \"test\"\n";
    for (const std::string &service : services) {
        text += "\n[[added]]\nservice = \"" + service
                + "\"\nslots = 8\nconnections = 100\nlong_share_percent = 50\n"
                  "\n[[added.kinds]]\nname = \"read\"\nmethod = \"GET\"\npath_prefix = \"/read/\"\n"
                  "importance = \"high\"\nrepetition = \"idempotent\"\nduration = \"short\"\n"
                + limits
                + "\n[[added.kinds]]\nname = \"write\"\nmethod = \"POST\"\n"
                  "path_prefix = \"/write/\"\nimportance = \"high\"\nrepetition = \"guarded\"\n"
                  "duration = \"short\"\n"
                + limits
                + "\n[[added.kinds]]\nname = \"upload\"\nmethod = \"POST\"\n"
                  "path_prefix = \"/upload/\"\nimportance = \"normal\"\nrepetition = \"guarded\"\n"
                  "duration = \"long\"\ndeadline_ms = 30000\nretries = 2\nnested_calls = 8\n";
    }
    return text;
}

} // namespace chive
