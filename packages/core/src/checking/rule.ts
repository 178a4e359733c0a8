/** Validation rules for the values in files that operators write. Rules are plain data. */

export const RuleKind = {
    Text: "text",
    Secret: "secret",
    Name: "name",
    Number: "number",
    Flag: "flag",
    Choice: "choice",
    Endpoint: "endpoint",
    Url: "url",
    Path: "path",
    List: "list",
    Map: "map",
    Group: "group",
} as const;
export type RuleKind = (typeof RuleKind)[keyof typeof RuleKind];

export interface RuleByKind {
    text: { readonly kind: "text"; readonly min: number; readonly max: number };
    /** A string that messages never show. */
    secret: { readonly kind: "secret"; readonly min: number; readonly max: number };
    /** Lowercase letters, digits and hyphens, starting with a letter. */
    name: { readonly kind: "name" };
    number: {
        readonly kind: "number";
        readonly min: number;
        readonly max: number;
        readonly integer: boolean;
        readonly unit: string;
    };
    flag: { readonly kind: "flag" };
    choice: { readonly kind: "choice"; readonly values: readonly string[] };
    /** `address:port` with an IP address. */
    endpoint: { readonly kind: "endpoint" };
    url: { readonly kind: "url" };
    /** Absolute path; a pattern may contain `*` segments and a final `**`. */
    path: { readonly kind: "path"; readonly pattern: boolean };
    list: {
        readonly kind: "list";
        readonly item: Rule;
        readonly min: number;
        readonly max: number;
        readonly unique: boolean;
    };
    /** An object whose keys are chosen by the operator and whose values follow one rule. */
    map: { readonly kind: "map"; readonly value: Rule; readonly min: number; readonly max: number };
    /** An object with a fixed set of keys. */
    group: {
        readonly kind: "group";
        readonly required: Readonly<Record<string, Rule>>;
        readonly optional: Readonly<Record<string, Rule>>;
    };
}

export type Rule = RuleByKind[RuleKind];
