#include <LibNode/Dialect.h>

#include <glog/logging.h>

namespace chive {

ResponseRules rulesFor(const Dialect &dialect, const HttpRequest &request)
{
    return {{dialect.echoedHeader, std::string(findHeader(request.headers, dialect.echoedHeader))},
            dialect.bodyEnd};
}

const Dialect &dialectOf(const Settings &settings)
{
    const Dialect *dialect = Registry<Dialect>::find(settings.dialect);
    if (dialect == nullptr)
        LOG(FATAL) << "error=\"no dialect '" << settings.dialect << "'\"";
    return *dialect;
}

} // namespace chive
