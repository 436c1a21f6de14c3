/**
 * Allows one export per module. A type and a constant of the same name count as
 * one export, because together they replace an enum.
 */
const rule = {
  meta: {
    type: 'suggestion',
    messages: {
      second: 'Expected one export per module; {{first}} is already exported.',
    },
    schema: [],
  },
  create(context) {
    const names = new Set();

    function record(node, name) {
      names.add(name);
      if (names.size < 2) return;
      const [first] = names;
      context.report({node, messageId: 'second', data: {first}});
    }

    return {
      ExportNamedDeclaration(node) {
        const {declaration} = node;
        if (!declaration) return;
        if (declaration.id) record(node, declaration.id.name);
        for (const declarator of declaration.declarations ?? []) {
          record(node, declarator.id.name);
        }
      },
    };
  },
};

export default rule;
