#include "console/form_page.h"

#include "base/secret.h"
#include "console/html.h"

#include <algorithm>

namespace ivypier::console {

namespace {

/// Number of empty class rows that the form adds after the existing ones.
constexpr std::size_t spare_class_rows = 2;

/// Highest number of class rows accepted from a form.
constexpr std::size_t max_class_rows = 64;

constexpr const char *new_key_field = "new_key";

std::string faultText(const form_view &view, const std::string &path)
{
    std::string text;
    for (const settings_error &each : view.faults) {
        if (each.path == path)
            text += (text.empty() ? "" : "; ") + each.message;
    }
    return text;
}

/// Returns the id and name of an input, and the ARIA attributes that refer to its hint and its fault.
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

/// Returns a checkbox for each service, and for each selected name that is no service of the draft.
std::string serviceListHtml(const form_view &view, const field_description &field)
{
    const std::string selected = '\n' + view.entry.text(field.key);
    std::vector<std::string> names = view.serviceNames;
    std::string_view remaining = std::string_view(selected).substr(1);
    while (!remaining.empty()) {
        const std::size_t end = std::min(remaining.find('\n'), remaining.size());
        const std::string name(remaining.substr(0, end));
        if (!name.empty() && std::find(names.begin(), names.end(), name) == names.end())
            names.push_back(name);
        remaining.remove_prefix(std::min(end + 1, remaining.size()));
    }
    std::string text = "<fieldset id=\"f-services\" tabindex=\"-1\"><legend>" + escapeHtml(field.label)
        + "</legend>" + hintAndFaultHtml(field, field.key, faultText(view, field.key));
    for (const std::string &each : names) {
        const bool checked = selected.find('\n' + each + '\n') != std::string::npos;
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

/// Returns the label of a field; the path itself if the form has no such field.
std::string fieldLabel(const form_view &view, const std::string &path)
{
    for (const field_description &each : sectionFields(view.formSection)) {
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

/// Returns the list of the entry's faults, each linked to its field.
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

/// Removes empty class rows and renumbers the rows that remain.
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

bool isKnownPath(section formSection, const std::string &path)
{
    const auto hasPath = [&](const field_description &each) { return each.key == path; };
    if (std::any_of(sectionFields(formSection).begin(), sectionFields(formSection).end(), hasPath))
        return true;
    for (std::size_t index = 0; formSection == section::services && index < max_class_rows; ++index) {
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
    const std::string name(sectionKey(view.formSection));
    std::string text = summaryHtml(view) + "<form method=\"post\" action=\"/edit\" novalidate>"
        + formTokenField(view.formToken) + "<input type=\"hidden\" name=\"section\" value=\"" + name
        + "\"><input type=\"hidden\" name=\"entry\" value=\""
        + (view.isNew ? "new" : std::to_string(view.index)) + "\">\n";
    for (const field_description &each : sectionFields(view.formSection)) {
        text += each.kind == field_kind::service_list ? serviceListHtml(view, each)
                                                      : fieldHtml(view, each, each.key);
    }
    if (view.formSection == section::services)
        text += classesHtml(view);
    text += "<div class=\"buttons\"><button type=\"submit\" name=\"action\" value=\"save\">Save to "
            "draft</button>"
            "<a href=\"/\">Cancel</a>";
    if (!view.isNew && view.formSection != section::deployment)
        text += "<button type=\"submit\" class=\"danger\" name=\"action\" value=\"delete\">Remove this "
            + std::string(entryTypeName(view.formSection)) + "</button>";
    return text + "</div></form>";
}

draft_entry entryFromForm(section formSection, const std::vector<std::pair<std::string, std::string>> &form)
{
    draft_entry entry;
    for (const auto &[path, value] : form) {
        const std::string entered = trimmed(value);
        if (entered.empty() || !isKnownPath(formSection, path))
            continue;
        if (path == "services")
            entry.fields[path] += entered + '\n';
        else
            entry.fields[path] = entered;
    }
    for (const auto &[path, value] : form) {
        if (path == new_key_field && !value.empty())
            entry.fields["key_sha256"]
                = value.size() < 16 ? "the new key is shorter than 16 characters" : sha256Hex(value);
    }
    return removeEmptyClassRows(entry);
}

std::vector<settings_error> faultsInEntry(const std::vector<settings_error> &faults, section formSection,
                                          std::size_t index)
{
    const std::string prefix = entryPathPrefix(formSection, index);
    std::vector<settings_error> result;
    for (const settings_error &each : faults) {
        if (each.path.starts_with(prefix))
            result.push_back({each.path.substr(prefix.size()), each.line, each.message});
    }
    return result;
}

} // namespace ivypier::console
