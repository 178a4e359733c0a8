import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "build/**", "target/**", "node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "no-restricted-syntax": [
                "error",
                { selector: "SwitchStatement", message: "Use a lookup table of handlers." },
                { selector: "TSEnumDeclaration", message: "Use a constant object." },
                { selector: "ClassDeclaration[superClass]", message: "Use a lookup table of handlers." },
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
            ],
            "max-lines-per-function": ["error", { max: 100, skipBlankLines: true, skipComments: true }],
            "max-lines": ["error", { max: 320, skipBlankLines: true, skipComments: true }],
            eqeqeq: "error",
            quotes: ["error", "double", { avoidEscape: true }],
        },
    },
    { files: ["**/*.js"], rules: { "no-restricted-syntax": "off" } },
    { files: ["**/*.cjs"], rules: { "@typescript-eslint/no-require-imports": "off" } },
    {
        files: ["scripts/bench/**/*.ts"],
        rules: {
            "max-lines-per-function": ["error", { max: 130, skipBlankLines: true, skipComments: true }],
        },
    },
    {
        // Step definitions register many small functions in one module scope.
        files: ["**/features/**/*.ts"],
        rules: { "max-lines-per-function": "off" },
    },
);
