#include "output.hpp"

#include <algorithm>
#include <iostream>

#include "commands.hpp"

namespace figridge {
namespace {

constexpr int http_conflict = 409;
constexpr int http_bad_request = 400;
constexpr std::size_t column_gap = 2;

std::string cell_text(const json& row, const std::string& field) {
    const auto found = row.find(field);
    if (found == row.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : dump_json(*found);
}

} // namespace

void print_table(const json& rows, const std::vector<std::string>& columns) {
    auto fields = columns;
    std::erase_if(fields, [&rows](const std::string& field) {
        return !rows.empty() &&
               std::none_of(rows.begin(), rows.end(), [&](const json& row) {
                   return row.contains(field);
               });
    });
    std::vector<std::vector<std::string>> lines{fields};
    for (const auto& row : rows) {
        std::vector<std::string> line;
        line.reserve(fields.size());
        for (const auto& field : fields) {
            line.push_back(cell_text(row, field));
        }
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(fields.size(), 0);
    for (const auto& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    for (const auto& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            const bool last = column + 1 == line.size();
            const auto width = last ? 0 : widths[column] + column_gap;
            auto text = line[column];
            text.resize(std::max(text.size(), width), ' ');
            std::cout << text;
        }
        std::cout << "\n";
    }
}

int report_failure(const host_reply& reply) {
    if (!reply.reached) {
        std::cerr << "figridgectl: host not reached: " << reply.error << "\n";
        return exit_unreachable;
    }
    const auto text = reply.body.is_object()
                          ? reply.body.value("error", dump_json(reply.body))
                          : std::string("the response is not a JSON object");
    std::cerr << "figridgectl: status " << reply.status << ": " << text << "\n";
    if (reply.status == http_conflict) {
        return exit_conflict;
    }
    return reply.status == http_bad_request ? exit_usage : exit_failed;
}

} // namespace figridge
