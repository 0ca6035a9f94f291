// Messages that tests send to a server.
#pragma once

#include <string>

#include "wire/msgpack_fields.h"

namespace scheduler::test {

// Statuses after which a user doesn't repeat a request.
inline bool is_final(int status) {
    return status == 400 || status == 404 || status == 413 || status == 422;
}

inline std::string submission() {
    JobSpec job;
    job.id = "req-000001";
    job.job_class = "train";
    job.team = "red";
    job.tasks = 1;
    job.cpus = 1;
    job.image = "image";
    msgpack::sbuffer buffer;
    wire::Packer packer(buffer);
    wire::pack_job(packer, job);
    return {buffer.data(), buffer.size()};
}

} // namespace scheduler::test
