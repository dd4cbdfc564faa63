#include "console/form_page.h"

#include "base/secret.h"
#include "console/html.h"

#include <algorithm>

namespace ivypier::console {

namespace {

/// Empty rows for classes after those that a service has.
constexpr std::size_t spare_class_rows = 2;

/// Most rows of classes that a form may hold.
constexpr std::size_t max_class_rows = 64;

constexpr const char *new_key = "new_key";

std::string faultText(const form_view &view, const std::string &path)
{
    std::string text;
    for (const settings_error &each : view.faults) {
        if (each.path == path)
            text += (text.empty() ? "" : "; ") + each.message;
    }
    return text;
}

/// The attributes that tie an input to its hint and its fault.
std::string inputAttributes(const field_description &field, const std::string &path, const std::string &fault)
{
    const std::string name = escapeHtml(path);
    std::string text = " id=\"f-" + name + "\" name=\"" + name + '"';
    std::string descriptionIds;
    if (!field.hint.empty())
        descriptionIds += "h-" + name;
    if (!fault.empty())
        descriptionIds += (descriptionIds.empty() ? "e-" : " e-") + name;
    if (!descriptionIds.empty())
        text += " aria-describedby=\"" + descriptionIds + '"';
    if (!fault.empty())
        text += " aria-invalid=\"true\"";
    return text;
}

std::string choiceHtml(const std::string &attributes, std::vector<std::string> choices,
                       const std::string &value)
{
    if (!value.empty() && std::find(choices.begin(), choices.end(), value) == choices.end())
        choices.push_back(value);
    std::string text = "<select" + attributes + '>';
    for (const std::string &each : choices)
        text += std::string("<option") + (each == value ? " selected" : "") + '>' + escapeHtml(each)
            + "</option>";
    return text + "</select>";
}

std::string inputHtml(const form_view &view, const field_description &field, const std::string &path,
                      const std::string &attributes)
{
    const std::string value = view.entry.text(path);
    if (field.kind == field_kind::choice)
        return choiceHtml(attributes, field.choices, value);
    if (field.kind == field_kind::service)
        return choiceHtml(attributes, view.serviceNames, value);
    const std::string mode = field.kind == field_kind::number ? " inputmode=\"decimal\"" : "";
    return "<input type=\"text\" autocomplete=\"off\" spellcheck=\"false\"" + mode + attributes + " value=\""
        + escapeHtml(value) + "\">";
}

std::string hintAndFaultHtml(const field_description &field, const std::string &path,
                             const std::string &fault)
{
    const std::string name = escapeHtml(path);
    std::string text;
    if (!field.hint.empty())
        text += "<p class=\"hint\" id=\"h-" + name + "\">" + escapeHtml(field.hint) + "</p>";
    if (!fault.empty())
        text += "<p class=\"error\" id=\"e-" + name + "\">" + escapeHtml(field.label) + ' '
            + escapeHtml(fault) + "</p>";
    return text;
}

/// A checkbox for each service, and for each name in the entry that is none.
std::string serviceListHtml(const form_view &view, const field_description &field)
{
    const std::string chosen = '\n' + view.entry.text(field.key);
    std::vector<std::string> names = view.serviceNames;
    std::string_view rest = std::string_view(chosen).substr(1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('\n'), rest.size());
        const std::string name(rest.substr(0, end));
        if (!name.empty() && std::find(names.begin(), names.end(), name) == names.end())
            names.push_back(name);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    std::string text = "<fieldset id=\"f-services\" tabindex=\"-1\"><legend>" + escapeHtml(field.label)
        + "</legend>" + hintAndFaultHtml(field, field.key, faultText(view, field.key));
    for (const std::string &each : names) {
        const bool checked = chosen.find('\n' + each + '\n') != std::string::npos;
        text += "<label><input type=\"checkbox\" name=\"services\" value=\"" + escapeHtml(each) + '"'
            + (checked ? " checked" : "") + '>' + escapeHtml(each) + "</label><br>";
    }
    return text + "</fieldset>";
}

std::string fieldHtml(const form_view &view, const field_description &field, const std::string &path)
{
    const std::string fault = faultText(view, path);
    std::string text = "<div class=\"field\"><label for=\"f-" + escapeHtml(path) + "\">"
        + escapeHtml(field.label) + "</label>" + hintAndFaultHtml(field, path, fault)
        + inputHtml(view, field, path, inputAttributes(field, path, fault)) + "</div>\n";
    if (field.kind == field_kind::key_digest)
        text += "<div class=\"field\"><label for=\"f-new_key\">New key</label><p class=\"hint\" "
                "id=\"h-new_key\">Replaces the digest above; at least 16 characters.</p><input "
                "type=\"password\" autocomplete=\"new-password\" id=\"f-new_key\" name=\"new_key\" "
                "aria-describedby=\"h-new_key\"></div>\n";
    return text;
}

std::string classesHtml(const form_view &view)
{
    std::string text = "<h2>Classes</h2><p class=\"hint\">Classes order requests when there is not room for "
                       "all. A row that is left empty is left out.</p>";
    const std::size_t rows = view.entry.classCount() + spare_class_rows;
    for (std::size_t index = 0; index < rows; ++index) {
        text += "<fieldset class=\"row\"><legend>Class " + std::to_string(index + 1) + "</legend>";
        for (const field_description &each : classFields())
            text += fieldHtml(view, each, classPath(index, each.key));
        text += "</fieldset>\n";
    }
    return text;
}

/// What a field is called on the form; its path when it is none.
std::string fieldLabel(const form_view &view, const std::string &path)
{
    for (const field_description &each : sectionFields(view.of)) {
        if (each.key == path)
            return each.label;
    }
    for (std::size_t index = 0; index < view.entry.classCount(); ++index) {
        for (const field_description &each : classFields()) {
            if (classPath(index, each.key) == path)
                return "Class " + std::to_string(index + 1) + ": " + each.label;
        }
    }
    return path;
}

/// Every fault of the entry, linked to its field.
std::string summaryHtml(const form_view &view)
{
    if (view.faults.empty())
        return "";
    std::string text = "<div class=\"errors\" role=\"alert\"><p>Not saved yet. What to mend:</p><ul>";
    for (const settings_error &each : view.faults)
        text += "<li><a href=\"#f-" + escapeHtml(each.path) + "\">" + escapeHtml(fieldLabel(view, each.path))
            + "</a> " + escapeHtml(each.message) + "</li>";
    return text + "</ul></div>\n";
}

std::string trimmed(const std::string &text)
{
    constexpr const char *blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Moves the rows of classes together, so that an empty row in between is left out.
draft_entry removeEmptyClassRows(const draft_entry &entry)
{
    draft_entry result;
    std::size_t row = 0;
    for (const auto &[path, value] : entry.fields) {
        if (!path.starts_with("classes["))
            result.fields[path] = value;
    }
    for (std::size_t index = 0; index < entry.classCount(); ++index) {
        bool used = false;
        for (const field_description &each : classFields()) {
            const auto found = entry.fields.find(classPath(index, each.key));
            if (found == entry.fields.end())
                continue;
            result.fields[classPath(row, each.key)] = found->second;
            used = true;
        }
        row += used ? 1 : 0;
    }
    return result;
}

bool isKnownPath(section of, const std::string &path)
{
    const auto named = [&](const field_description &each) { return each.key == path; };
    if (std::any_of(sectionFields(of).begin(), sectionFields(of).end(), named))
        return true;
    for (std::size_t index = 0; of == section::services && index < max_class_rows; ++index) {
        for (const field_description &each : classFields()) {
            if (classPath(index, each.key) == path)
                return true;
        }
    }
    return false;
}

} // namespace

std::string formHtml(const form_view &view)
{
    const std::string name(key(view.of));
    std::string text = summaryHtml(view) + "<form method=\"post\" action=\"/edit\" novalidate>"
        + formTokenField(view.formToken) + "<input type=\"hidden\" name=\"section\" value=\"" + name
        + "\"><input type=\"hidden\" name=\"entry\" value=\""
        + (view.isNew ? "new" : std::to_string(view.index)) + "\">\n";
    for (const field_description &each : sectionFields(view.of)) {
        text += each.kind == field_kind::service_list ? serviceListHtml(view, each)
                                                      : fieldHtml(view, each, each.key);
    }
    if (view.of == section::services)
        text += classesHtml(view);
    text += "<div class=\"buttons\"><button type=\"submit\" name=\"action\" value=\"save\">Save to "
            "draft</button>"
            "<a href=\"/\">Cancel</a>";
    if (!view.isNew && view.of != section::deployment)
        text += "<button type=\"submit\" class=\"danger\" name=\"action\" value=\"delete\">Remove this "
            + std::string(entryTypeName(view.of)) + "</button>";
    return text + "</div></form>";
}

draft_entry entryFromForm(section of, const std::vector<std::pair<std::string, std::string>> &form)
{
    draft_entry entry;
    for (const auto &[path, value] : form) {
        const std::string entered = trimmed(value);
        if (entered.empty() || !isKnownPath(of, path))
            continue;
        if (path == "services")
            entry.fields[path] += entered + '\n';
        else
            entry.fields[path] = entered;
    }
    for (const auto &[path, value] : form) {
        if (path == new_key && !value.empty())
            entry.fields["key_sha256"]
                = value.size() < 16 ? "the new key is shorter than 16 characters" : sha256Hex(value);
    }
    return removeEmptyClassRows(entry);
}

std::vector<settings_error> faultsInEntry(const std::vector<settings_error> &faults, section of,
                                          std::size_t index)
{
    const std::string prefix = entryPathPrefix(of, index);
    std::vector<settings_error> result;
    for (const settings_error &each : faults) {
        if (each.path.starts_with(prefix))
            result.push_back({each.path.substr(prefix.size()), each.line, each.message});
    }
    return result;
}

} // namespace ivypier::console
